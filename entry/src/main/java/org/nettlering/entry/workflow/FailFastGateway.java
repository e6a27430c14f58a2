package org.nettlering.entry.workflow;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;

/**
 * A way to the leader that turns requests away at once while no leader answers.
 *
 * <p>Answers the seconds without a leader: a request that waits for one uses up the time that its caller has, and is turned
 * away in the end all the same. Guarantees that what is turned away here reached no member. Thread-safe.
 */
public final class FailFastGateway implements ControlGateway {
    /** The way to the leader. */
    private final ControlGateway inner;

    /** Knows when a leader answered last. */
    private final LeaderMonitor leaderMonitor;

    /**
     * Wraps a way to the leader.
     *
     * @param inner the way to the leader, not null
     * @param leaderMonitor knows when a leader answered last, not null
     * @return a new gateway, never null
     */
    public static FailFastGateway of(ControlGateway inner, LeaderMonitor leaderMonitor) {
        return new FailFastGateway(inner, leaderMonitor);
    }

    private FailFastGateway(ControlGateway inner, LeaderMonitor leaderMonitor) {
        this.inner = inner;
        this.leaderMonitor = leaderMonitor;
    }

    @Override
    public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
        if (leaderMonitor.isLeaderless()) {
            String message =
                    "no control leader has answered for " + LeaderMonitor.LEADERLESS_TIMEOUT.toMillis() + " ms";
            return CompletableFuture.failedFuture(new NettleringException(ErrorCode.NO_LEADER, message));
        }
        return inner.callLeader(request, repeatable, timeout).whenComplete((response, failure) -> {
            if (failure == null) {
                leaderMonitor.recordResponse();
            }
        });
    }

    @Override
    public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
        return inner.callEveryMember(request, timeout);
    }
}
