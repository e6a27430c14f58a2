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

/** Hands the leadership over to a voter that holds the whole log; no proposal is taken meanwhile. */
final class LeadershipTransfer {
    /** What the member knows. */
    private final MemberState state;

    /** Knows how far the voters are. */
    private final Leader leader;

    /** The transfer that is under way. */
    private @Nullable Transfer activeTransfer;

    LeadershipTransfer(MemberState state, Leader leadership) {
        this.state = state;
        this.leader = leadership;
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
            String reason = isActive() ? "another transfer is under way" : "there is no such other voter";
            NettleringException rejection = new NettleringException(
                    ErrorCode.MEMBERSHIP_REFUSED, "the leadership was not transferred: " + reason);
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

    /** Asks the chosen member to stand once it holds every entry. */
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
                "member " + transfer.target() + " did not take over the leadership in time");
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
