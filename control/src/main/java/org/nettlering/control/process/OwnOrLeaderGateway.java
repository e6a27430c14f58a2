package org.nettlering.control.process;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
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

    /** Sets the timers. */
    private final TimeSource time;

    OwnOrLeaderGateway(CommandLog log, FrameHandler own, ControlGateway others, TimeSource time) {
        this.log = log;
        this.own = own;
        this.others = others;
        this.time = time;
    }

    @Override
    public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
        if (!log.isReadyLeader()) {
            return others.callLeader(request, repeatable, timeout);
        }
        long deadlineNanos = time.nanoTime() + timeout.toNanos();
        return callOwn(request, timeout)
                .exceptionallyCompose(failure -> isNotLeader(failure)
                        ? others.callLeader(request, repeatable, Duration.ofNanos(deadlineNanos - time.nanoTime()))
                                .toCompletableFuture()
                        : CompletableFuture.failedFuture(failure));
    }

    /** Asks this process itself, which may be unable to answer: its disk may hang, or it leads a majority no more. */
    private CompletableFuture<Frame> callOwn(Frame request, Duration timeout) {
        CompletableFuture<Frame> response = new CompletableFuture<>();
        TimeSource.Timer timer = time.schedule(
                timeout,
                () -> response.completeExceptionally(new NettleringException(
                        ErrorCode.OUTCOME_UNKNOWN,
                        "this leader gave no response within " + timeout.toMillis()
                                + " ms; the request may have taken effect")));
        handle(request).whenComplete((frame, failure) -> {
            timer.cancel();
            if (failure == null) {
                response.complete(frame);
            } else {
                response.completeExceptionally(failure);
            }
        });
        return response;
    }

    /** Passes a request to the handler; an exception becomes a failed response. */
    private CompletionStage<Frame> handle(Frame request) {
        try {
            return own.handleRequest(request);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
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
