package org.nettlering.consensus.protocol;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.DiskReplaced;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Changes of membership, one member at a time.
 *
 * <p>A member enters as a learner and gets its vote once it holds what is committed. A voter that comes back with another
 * disk loses its vote first, and gets it back in the same way.
 */
final class MembershipChanges {
    /** What the member knows. */
    private final MemberState state;

    /** Appends the memberships. */
    private final Leadership leadership;

    /** What was committed at the previous tick; a learner that holds it has caught up. */
    private long committedAtTick;

    /** The removal that waits for answers of the others. */
    private @Nullable Removal removal;

    /** Who waits for the change that is under way. */
    private @Nullable Waiting waiting;

    MembershipChanges(MemberState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    boolean isPending() {
        return state.memberships.currentIndex() > state.commitIndex;
    }

    void add(Member added, CompletableFuture<Void> future) {
        if (isPending()) {
            refuse(future, "another change of membership is under way");
            return;
        }
        Optional<Member> present = state.membership().find(added.id());
        if (present.isPresent() && present.get().address().equals(added.address())) {
            state.outbox.later(() -> future.complete(null));
            return;
        }
        if (present.isPresent()) {
            refuse(
                    future,
                    "member " + added.id() + " exists with address "
                            + present.get().address() + "; remove it first");
            return;
        }
        change(state.membership().with(added.withoutVote()), future);
    }

    void remove(MemberId id, CompletableFuture<Void> future) {
        if (isPending()) {
            refuse(future, "another change of membership is under way");
            return;
        }
        if (state.membership().find(id).isEmpty()) {
            state.outbox.later(() -> future.complete(null));
            return;
        }
        if (id.equals(state.self)) {
            refuse(future, "member " + id + " leads; transfer the leadership first");
            return;
        }
        if (removal != null) {
            refuse(future, "another removal is under way");
            return;
        }
        long deadline = state.time.nanoTime() + state.settings.electionTimeout().toNanos();
        removal = new Removal(id, leadership.beginRound(), deadline, future);
        proceedWithRemoval();
    }

    /** Removes the member once a majority of the others has answered a round that began after the request. */
    private void proceedWithRemoval() {
        Removal wanted = removal;
        if (wanted == null) {
            return;
        }
        Membership changed = state.membership().without(wanted.id());
        long answered = changed.voters().stream()
                .filter(voter -> hasAnswered(voter, wanted.round()))
                .count();
        if (answered >= changed.quorum()) {
            removal = null;
            change(changed, wanted.future());
            return;
        }
        if (state.time.nanoTime() - wanted.deadlineNanos() >= 0) {
            removal = null;
            refuse(wanted.future(), "without member " + wanted.id() + " no majority of the voters answers");
        }
    }

    private boolean hasAnswered(Member voter, long round) {
        boolean self = voter.id().equals(state.self);
        return self
                || leadership
                        .replica(voter.id())
                        .filter(replica -> replica.countsFor(voter) && replica.answeredRound >= round)
                        .isPresent();
    }

    private void change(Membership changed, CompletableFuture<Void> future) {
        if (isPending()) {
            refuse(future, "another change of membership is under way");
            return;
        }
        if (!leadership.hasCommittedInTerm()) {
            refuse(future, "the leader has not committed an entry of its term yet");
            return;
        }
        waiting = new Waiting(append(changed), future);
        committed();
    }

    private long append(Membership changed) {
        LogEntry entry = leadership.append(LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(changed));
        leadership.replicate();
        return entry.index();
    }

    private void refuse(CompletableFuture<Void> future, String message) {
        NettleringException refused = new NettleringException(ErrorCode.MEMBERSHIP_REFUSED, message);
        state.outbox.later(() -> future.completeExceptionally(refused));
    }

    /** Goes on with what waits for answers or for a commit. */
    void settle() {
        proceedWithRemoval();
        committed();
    }

    /** Completes the change that somebody waits for, once it is committed. */
    private void committed() {
        Waiting change = waiting;
        if (change != null && change.index() <= state.commitIndex) {
            waiting = null;
            state.outbox.later(() -> change.future().complete(null));
        }
    }

    void stop() {
        Removal wanted = removal;
        removal = null;
        if (wanted != null) {
            refuse(wanted.future(), "the leadership was lost before the removal began");
        }
        Waiting change = waiting;
        waiting = null;
        if (change != null) {
            NettleringException unknown =
                    new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "leadership was lost during the change");
            state.outbox.later(() -> change.future().completeExceptionally(unknown));
        }
    }

    /** Takes the vote from a voter whose disk was replaced, or gives it to a learner that has caught up. */
    void tick() {
        proceedWithRemoval();
        long committedBefore = committedAtTick;
        committedAtTick = state.commitIndex;
        if (isPending() || !leadership.hasCommittedInTerm()) {
            return;
        }
        for (Replica replica : leadership.replicas()) {
            Member member = state.membership().find(replica.id).orElseThrow();
            if (member.voting() && replica.diskId != member.diskId()) {
                state.outbox.report(new DiskReplaced(member.id()));
                append(state.membership().with(member.withoutVote()));
                return;
            }
            boolean caughtUp = replica.diskId != 0 && replica.matchIndex >= committedBefore && committedBefore > 0;
            if (!member.voting() && caughtUp && replica.matchIndex > 0) {
                append(state.membership().with(member.withVote(replica.diskId)));
                return;
            }
        }
    }

    private record Removal(MemberId id, long round, long deadlineNanos, CompletableFuture<Void> future) {}

    private record Waiting(long index, CompletableFuture<Void> future) {}
}
