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
    private final Leader leader;

    /** What was committed at the previous tick; a learner that holds it has caught up. */
    private long commitIndexAtLastTick;

    /** The removal that waits for answers of the others. */
    private @Nullable PendingRemoval pendingRemoval;

    /** Who waits for the change that is under way. */
    private @Nullable PendingChange pendingChange;

    MembershipChanges(MemberState state, Leader leadership) {
        this.state = state;
        this.leader = leadership;
    }

    boolean hasUncommittedMembership() {
        return state.membershipHistory.currentIndex() > state.commitIndex;
    }

    void add(Member added, CompletableFuture<Void> future) {
        if (hasUncommittedMembership()) {
            reject(future, "another change of membership is under way");
            return;
        }
        Optional<Member> existing = state.membership().find(added.id());
        if (existing.isPresent() && existing.get().address().equals(added.address())) {
            state.outbox.runOutsideLock(() -> future.complete(null));
            return;
        }
        if (existing.isPresent()) {
            reject(
                    future,
                    "member " + added.id() + " exists with address "
                            + existing.get().address() + "; remove it first");
            return;
        }
        startChange(state.membership().with(added.withoutVote()), future);
    }

    void remove(MemberId id, CompletableFuture<Void> future) {
        if (hasUncommittedMembership()) {
            reject(future, "another change of membership is under way");
            return;
        }
        if (state.membership().find(id).isEmpty()) {
            state.outbox.runOutsideLock(() -> future.complete(null));
            return;
        }
        if (id.equals(state.self)) {
            reject(future, "member " + id + " leads; transfer the leadership first");
            return;
        }
        if (pendingRemoval != null) {
            reject(future, "another removal is under way");
            return;
        }
        long deadline = state.time.nanoTime() + state.settings.electionTimeout().toNanos();
        pendingRemoval = new PendingRemoval(id, leader.startRound(), deadline, future);
        advanceRemoval();
    }

    /** Removes the member once a majority of the others has answered a round that began after the request. */
    private void advanceRemoval() {
        PendingRemoval current = pendingRemoval;
        if (current == null) {
            return;
        }
        Membership newMembership = state.membership().without(current.id());
        long acknowledgements = newMembership.voters().stream()
                .filter(voter -> hasAcknowledged(voter, current.round()))
                .count();
        if (acknowledgements >= newMembership.quorum()) {
            pendingRemoval = null;
            startChange(newMembership, current.future());
            return;
        }
        if (state.time.nanoTime() - current.deadlineNanos() >= 0) {
            pendingRemoval = null;
            reject(current.future(), "without member " + current.id() + " no majority of the voters answers");
        }
    }

    private boolean hasAcknowledged(Member voter, long round) {
        boolean isSelf = voter.id().equals(state.self);
        return isSelf
                || leader.replica(voter.id())
                        .filter(replica -> replica.isOnDiskOfVoter(voter) && replica.acknowledgedRound >= round)
                        .isPresent();
    }

    private void startChange(Membership newMembership, CompletableFuture<Void> future) {
        if (hasUncommittedMembership()) {
            reject(future, "another change of membership is under way");
            return;
        }
        if (!leader.hasCommittedInCurrentTerm()) {
            reject(future, "the leader has not committed an entry of its term yet");
            return;
        }
        pendingChange = new PendingChange(append(newMembership), future);
        completeCommittedChange();
    }

    private long append(Membership newMembership) {
        LogEntry entry = leader.append(LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(newMembership));
        leader.replicate();
        return entry.index();
    }

    private void reject(CompletableFuture<Void> future, String message) {
        NettleringException rejection = new NettleringException(ErrorCode.MEMBERSHIP_REFUSED, message);
        state.outbox.runOutsideLock(() -> future.completeExceptionally(rejection));
    }

    /** Goes on with what waits for answers or for a commit. */
    void advance() {
        advanceRemoval();
        completeCommittedChange();
    }

    /** Completes the change that somebody waits for, once it is committed. */
    private void completeCommittedChange() {
        PendingChange change = pendingChange;
        if (change != null && change.index() <= state.commitIndex) {
            pendingChange = null;
            state.outbox.runOutsideLock(() -> change.future().complete(null));
        }
    }

    void onLeadershipLost() {
        PendingRemoval current = pendingRemoval;
        pendingRemoval = null;
        if (current != null) {
            reject(current.future(), "the leadership was lost before the removal began");
        }
        PendingChange change = pendingChange;
        pendingChange = null;
        if (change != null) {
            NettleringException outcomeUnknown =
                    new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "leadership was lost during the change");
            state.outbox.runOutsideLock(() -> change.future().completeExceptionally(outcomeUnknown));
        }
    }

    /** Takes the vote from a voter whose disk was replaced, or gives it to a learner that has caught up. */
    void tick() {
        advanceRemoval();
        long previousCommitIndex = commitIndexAtLastTick;
        commitIndexAtLastTick = state.commitIndex;
        if (hasUncommittedMembership() || !leader.hasCommittedInCurrentTerm()) {
            return;
        }
        for (ReplicaProgress replica : leader.replicas()) {
            Member member = state.membership().find(replica.id).orElseThrow();
            if (member.voting() && replica.diskId != member.diskId()) {
                state.outbox.report(new DiskReplaced(member.id()));
                append(state.membership().with(member.withoutVote()));
                return;
            }
            boolean caughtUp =
                    replica.diskId != 0 && replica.matchIndex >= previousCommitIndex && previousCommitIndex > 0;
            if (!member.voting() && caughtUp && replica.matchIndex > 0) {
                append(state.membership().with(member.withVote(replica.diskId)));
                return;
            }
        }
    }

    private record PendingRemoval(MemberId id, long round, long deadlineNanos, CompletableFuture<Void> future) {}

    private record PendingChange(long index, CompletableFuture<Void> future) {}
}
