package org.nettlering.consensus.protocol;

import java.util.Comparator;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusMessage.TimeoutNow;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Transfers leadership to a voter that stores the whole log. Proposals are rejected while a transfer is active. */
final class LeadershipTransfer {
    private final MemberState state;
    private final Leader leader;

    /** The active transfer, or null. */
    private @Nullable Transfer activeTransfer;

    LeadershipTransfer(MemberState state, Leader leader) {
        this.state = state;
        this.leader = leader;
    }

    boolean isActive() {
        return activeTransfer != null;
    }

    void start(Optional<MemberId> requestedTarget, CompletableFuture<Void> future) {
        Optional<ReplicaProgress> target = leader.replicas().stream()
                .filter(replica ->
                        requestedTarget.isEmpty() || requestedTarget.get().equals(replica.id))
                .filter(this::isVoter)
                .max(Comparator.comparingLong(replica -> replica.matchIndex));
        if (target.isEmpty() || isActive()) {
            String reason = isActive() ? "another transfer is in progress" : "the target is not another voter";
            NettleringException rejection =
                    new NettleringException(ErrorCode.MEMBERSHIP_REFUSED, "leadership transfer rejected: " + reason);
            state.outbox.runOutsideLock(() -> future.completeExceptionally(rejection));
            return;
        }
        long deadline = state.time.nanoTime() + state.settings.electionTimeout().toNanos();
        activeTransfer = new Transfer(target.get().id, deadline, future);
        sendTimeoutNowIfCaughtUp();
    }

    private boolean isVoter(ReplicaProgress replica) {
        Optional<Member> member = state.membership().find(replica.id);
        return member.isPresent() && replica.isOnDiskOfVoter(member.get());
    }

    /** Sends {@code TimeoutNow} to the target of the active transfer if its log is complete. */
    void sendTimeoutNowIfCaughtUp() {
        Transfer transfer = activeTransfer;
        if (transfer == null) {
            return;
        }
        boolean caughtUp = leader.replica(transfer.target())
                .filter(replica -> replica.matchIndex == state.log.lastIndex())
                .isPresent();
        if (caughtUp) {
            state.outbox.send(transfer.target(), new TimeoutNow(state.term));
        }
    }

    void tick() {
        Transfer transfer = activeTransfer;
        if (transfer == null) {
            return;
        }
        if (state.time.nanoTime() - transfer.deadlineNanos() < 0) {
            sendTimeoutNowIfCaughtUp();
            return;
        }
        activeTransfer = null;
        NettleringException timeout = new NettleringException(
                ErrorCode.DEADLINE_EXCEEDED,
                "member " + transfer.target() + " did not become leader before the timeout");
        state.outbox.runOutsideLock(() -> transfer.future().completeExceptionally(timeout));
    }

    void onLeadershipLost() {
        Transfer transfer = activeTransfer;
        activeTransfer = null;
        if (transfer != null) {
            state.outbox.runOutsideLock(() -> transfer.future().complete(null));
        }
    }

    private record Transfer(MemberId target, long deadlineNanos, CompletableFuture<Void> future) {}
}
