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
 * A gateway to the control leader that rejects requests immediately while no leader responds.
 *
 * <p>Without it, a request during the seconds without a leader would use up its caller's timeout and be rejected in the
 * end. A request that is rejected here has reached no control member. Thread-safe.
 */
public final class FailFastGateway implements ControlGateway {
    private final ControlGateway inner;
    private final LeaderMonitor leaderMonitor;

    /**
     * Wraps a gateway.
     *
     * @param inner the gateway that requests are forwarded to, not null
     * @param leaderMonitor knows when a leader last responded, not null
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
                    "no control leader has responded for " + LeaderMonitor.LEADERLESS_TIMEOUT.toMillis() + " ms";
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
