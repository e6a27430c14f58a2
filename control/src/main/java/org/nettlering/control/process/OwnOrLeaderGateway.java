package org.nettlering.control.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.transport.FrameHandler;

/**
 * The way to the leader from a control process: itself while it leads, otherwise over the network.
 *
 * <p>Immutable and thread-safe.
 */
final class OwnOrLeaderGateway implements ControlGateway {
    /** The replicated log, which tells whether this process leads. */
    private final CommandLog log;

    /** Answers requests in this process. */
    private final FrameHandler own;

    /** The way to the other members. */
    private final ControlGateway others;

    OwnOrLeaderGateway(CommandLog log, FrameHandler own, ControlGateway others) {
        this.log = log;
        this.own = own;
        this.others = others;
    }

    @Override
    public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
        if (!log.isReadyLeader()) {
            return others.callLeader(request, repeatable, timeout);
        }
        return own.handleRequest(request)
                .toCompletableFuture()
                .exceptionallyCompose(failure -> isNotLeader(failure)
                        ? others.callLeader(request, repeatable, timeout).toCompletableFuture()
                        : CompletableFuture.failedFuture(failure));
    }

    private static boolean isNotLeader(Throwable failure) {
        Throwable cause =
                failure instanceof CompletionException && failure.getCause() != null ? failure.getCause() : failure;
        return cause instanceof NettleringException exception && exception.code() == ErrorCode.NOT_LEADER;
    }

    @Override
    public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
        return others.callEveryMember(request, timeout);
    }
}
