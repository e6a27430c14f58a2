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
 * Membership changes, one member at a time.
 *
 * <p>A member is added as a learner and becomes a voter once it stores all committed entries. A voter that responds from
 * another disk becomes a learner first and regains its vote in the same way.
 */
final class MembershipChanges {
    private final MemberState state;
    private final Leader leader;

    /** The commit index at the previous tick; a learner that stores the log up to it has caught up. */
    private long commitIndexAtLastTick;

    /** The removal that waits for acknowledgements of the remaining voters, or null. */
    private @Nullable PendingRemoval pendingRemoval;

    /** The change that waits to be committed, or null. */
    private @Nullable PendingChange pendingChange;

    MembershipChanges(MemberState state, Leader leader) {
        this.state = state;
        this.leader = leader;
    }

    boolean hasUncommittedMembership() {
        return state.membershipHistory.currentIndex() > state.commitIndex;
    }

    void add(Member added, CompletableFuture<Void> future) {
        if (hasUncommittedMembership()) {
            reject(future, "another membership change is in progress");
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
            reject(future, "another membership change is in progress");
            return;
        }
        if (state.membership().find(id).isEmpty()) {
            state.outbox.runOutsideLock(() -> future.complete(null));
            return;
        }
        if (id.equals(state.self)) {
            reject(future, "member " + id + " is the leader; transfer leadership first");
            return;
        }
        if (pendingRemoval != null) {
            reject(future, "another removal is in progress");
            return;
        }
        long deadline = state.time.nanoTime() + state.settings.electionTimeout().toNanos();
        pendingRemoval = new PendingRemoval(id, leader.startRound(), deadline, future);
        advanceRemoval();
    }

    /**
     * Starts the pending removal once a quorum of the remaining voters has acknowledged a round started after the request;
     * rejects it at its deadline.
     */
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
            reject(
                    current.future(),
                    "removing member " + current.id()
                            + " is unsafe: no quorum of the remaining voters responded in time");
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
            reject(future, "another membership change is in progress");
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

    /** Advances the pending removal and completes the pending change if it is committed. */
    void advance() {
        advanceRemoval();
        completeCommittedChange();
    }

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
            reject(current.future(), "leadership was lost before the removal started");
        }
        PendingChange change = pendingChange;
        pendingChange = null;
        if (change != null) {
            NettleringException outcomeUnknown = new NettleringException(
                    ErrorCode.OUTCOME_UNKNOWN, "leadership was lost before the change was committed");
            state.outbox.runOutsideLock(() -> change.future().completeExceptionally(outcomeUnknown));
        }
    }

    /** Turns a voter whose disk was replaced into a learner, or a learner that has caught up into a voter; one per tick. */
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
