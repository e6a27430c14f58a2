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
    private final Leadership leadership;

    /** The transfer that is under way. */
    private @Nullable Transfer current;

    LeadershipTransfer(MemberState state, Leadership leadership) {
        this.state = state;
        this.leadership = leadership;
    }

    boolean isActive() {
        return current != null;
    }

    void begin(Optional<MemberId> wanted, CompletableFuture<Void> future) {
        Optional<Replica> target = leadership.replicas().stream()
                .filter(replica -> wanted.isEmpty() || wanted.get().equals(replica.id))
                .filter(this::isVoter)
                .max(Comparator.comparingLong(replica -> replica.matchIndex));
        if (target.isEmpty() || isActive()) {
            String reason = isActive() ? "another transfer is under way" : "there is no such other voter";
            NettleringException refused = new NettleringException(
                    ErrorCode.MEMBERSHIP_REFUSED, "the leadership was not transferred: " + reason);
            state.outbox.later(() -> future.completeExceptionally(refused));
            return;
        }
        long deadline = state.time.nanoTime() + state.settings.electionTimeout().toNanos();
        current = new Transfer(target.get().id, deadline, future);
        proceed();
    }

    private boolean isVoter(Replica replica) {
        Optional<Member> member = state.membership().find(replica.id);
        return member.isPresent() && replica.countsFor(member.get());
    }

    /** Asks the chosen member to stand once it holds every entry. */
    void proceed() {
        Transfer transfer = current;
        if (transfer == null) {
            return;
        }
        boolean caughtUp = leadership
                .replica(transfer.target())
                .filter(replica -> replica.matchIndex == state.log.lastIndex())
                .isPresent();
        if (caughtUp) {
            state.outbox.send(transfer.target(), new TimeoutNow(state.term));
        }
    }

    void tick() {
        Transfer transfer = current;
        if (transfer == null) {
            return;
        }
        if (state.time.nanoTime() - transfer.deadlineNanos() < 0) {
            proceed();
            return;
        }
        current = null;
        NettleringException late = new NettleringException(
                ErrorCode.DEADLINE_EXCEEDED,
                "member " + transfer.target() + " did not take over the leadership in time");
        state.outbox.later(() -> transfer.future().completeExceptionally(late));
    }

    void stop() {
        Transfer transfer = current;
        current = null;
        if (transfer != null) {
            state.outbox.later(() -> transfer.future().complete(null));
        }
    }

    private record Transfer(MemberId target, long deadlineNanos, CompletableFuture<Void> future) {}
}
