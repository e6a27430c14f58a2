package org.nettlering.control.trace;

import java.util.Locale;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.trace.Hop;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.runtime.trace.TraceSpan;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.TaskProto.WorkerCommand;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;
import org.nettlering.wire.transport.FrameHandler;

/**
 * Puts a span around each request, and one on each command that a worker's report is answered with.
 *
 * <p>A request is handled with the trace context of its span, so that what it starts becomes a child. A command continues
 * the trace of the submission that it belongs to; a command that is handed over again gets another span. Immutable and
 * thread-safe.
 */
public final class TracingFrameHandler implements FrameHandler {
    /** Handles the frames. */
    private final FrameHandler inner;

    /** Starts the spans. */
    private final Telemetry telemetry;

    /**
     * Wraps a handler.
     *
     * @param inner handles the frames, not null
     * @param telemetry starts the spans, not null
     * @return a new handler, never null
     */
    public static TracingFrameHandler of(FrameHandler inner, Telemetry telemetry) {
        return new TracingFrameHandler(inner, telemetry);
    }

    private TracingFrameHandler(FrameHandler inner, Telemetry telemetry) {
        this.inner = inner;
        this.telemetry = telemetry;
    }

    @Override
    public CompletionStage<Frame> handleRequest(Frame request) {
        TraceSpan span = telemetry
                .start(Hop.CONTROL_SERVES, request.getTraceparent())
                .attribute("request", request.getBodyCase().name().toLowerCase(Locale.ROOT));
        Frame traced = request.toBuilder().setTraceparent(span.traceparent()).build();
        return inner.handleRequest(traced)
                .whenComplete((response, error) -> {
                    if (error == null) {
                        span.end();
                    } else {
                        span.fail(codeOf(error).text());
                    }
                })
                .thenApply(this::withCommandSpans);
    }

    @Override
    public void handleMessage(Frame message) {
        inner.handleMessage(message);
    }

    private Frame withCommandSpans(Frame response) {
        if (!response.hasTaskResponse()
                || response.getTaskResponse().getReport().getCommandsCount() == 0) {
            return response;
        }
        Frame.Builder traced = response.toBuilder();
        WorkerReportResponse.Builder report = traced.getTaskResponseBuilder().getReportBuilder();
        for (WorkerCommand.Builder command : report.getCommandsBuilderList()) {
            handOver(command);
        }
        return traced.build();
    }

    private void handOver(WorkerCommand.Builder command) {
        if (command.getTraceparent().isEmpty()) {
            return;
        }
        TraceSpan span = telemetry
                .start(Hop.CONTROL_TO_WORKER, command.getTraceparent())
                .attribute("command", command.getCommandCase().name().toLowerCase(Locale.ROOT));
        command.setTraceparent(span.traceparent());
        span.end();
    }

    private static ErrorCode codeOf(Throwable error) {
        Throwable cause = error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
        return cause instanceof NettleringException exception ? exception.code() : ErrorCode.INTERNAL;
    }
}
