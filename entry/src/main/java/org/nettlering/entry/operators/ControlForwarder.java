package org.nettlering.entry.operators;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.ext.web.RoutingContext;
import java.time.Duration;
import java.util.concurrent.CompletionException;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.trace.Hop;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.runtime.trace.TraceSpan;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResponse;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.TaskResponse;
import org.nettlering.wire.proto.WorkflowProto.WorkflowRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;
import org.nettlering.wire.transport.ControlGateway;

/**
 * Forwards the requests of one HTTP port to the control leader and records a span for each.
 *
 * <p>Immutable and thread-safe. Futures complete on the Vert.x context of the request.
 */
final class ControlForwarder {
    private static final String TIMEOUT_HEADER = "Nettlering-Timeout-Millis";

    private static final long MAX_TIMEOUT_MILLIS = 60_000;

    private final ControlGateway gateway;
    private final Telemetry telemetry;

    /** The timeout of a request without a timeout header. */
    private final Duration defaultTimeout;

    ControlForwarder(ControlGateway gateway, Telemetry telemetry, Duration defaultTimeout) {
        this.gateway = gateway;
        this.telemetry = telemetry;
        this.defaultTimeout = defaultTimeout;
    }

    /** Forwards a query or change of the configuration. */
    Future<ConfigurationResponse> forwardConfigurationRequest(RoutingContext routing, ConfigurationRequest request) {
        Frame frame = Frame.newBuilder().setConfigurationRequest(request).build();
        return forward(routing, frame, true).map(Frame::getConfigurationResponse);
    }

    /** Forwards a query or change of jobs and workers. */
    Future<TaskResponse> forwardTaskRequest(RoutingContext routing, TaskRequest request) {
        Frame frame = Frame.newBuilder().setTaskRequest(request).build();
        return forward(routing, frame, true).map(Frame::getTaskResponse);
    }

    /** Forwards a query or change of the control members; changes are not repeated. */
    Future<MembershipResponse> forwardMembershipRequest(RoutingContext routing, MembershipRequest request) {
        Frame frame = Frame.newBuilder().setMembershipRequest(request).build();
        return forward(routing, frame, request.hasList()).map(Frame::getMembershipResponse);
    }

    /** Forwards a query or change of the evacuations; a change is based on a version and may be repeated. */
    Future<WorkflowResponse> forwardWorkflowRequest(RoutingContext routing, WorkflowRequest request) {
        Frame frame = Frame.newBuilder().setWorkflowRequest(request).build();
        return forward(routing, frame, true).map(Frame::getWorkflowResponse);
    }

    private Future<Frame> forward(RoutingContext routing, Frame frame, boolean mayRepeat) {
        Promise<Frame> promise = Promise.promise();
        Context context = routing.vertx().getOrCreateContext();
        TraceSpan span = telemetry.start(Hop.ENTRY_TO_CONTROL, HttpResponses.traceparentOf(routing));
        Frame traced = frame.toBuilder().setTraceparent(span.traceparent()).build();
        gateway.callLeader(traced, mayRepeat, timeoutOf(routing)).whenComplete((response, error) -> {
            if (error == null) {
                span.end();
                context.runOnContext(nothing -> promise.complete(response));
                return;
            }
            Throwable cause =
                    error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
            span.fail(HttpResponses.codeOf(cause).text());
            context.runOnContext(nothing -> promise.fail(cause));
        });
        return promise.future();
    }

    private Duration timeoutOf(RoutingContext routing) {
        String text = routing.request().getHeader(TIMEOUT_HEADER);
        if (text == null) {
            return defaultTimeout;
        }
        try {
            long millis = Long.parseLong(text);
            if (millis > 0) {
                return Duration.ofMillis(Math.min(millis, MAX_TIMEOUT_MILLIS));
            }
        } catch (NumberFormatException exception) {
            throw invalidTimeout(text);
        }
        throw invalidTimeout(text);
    }

    private static NettleringException invalidTimeout(String text) {
        return new NettleringException(
                ErrorCode.INVALID_ARGUMENT, "header " + TIMEOUT_HEADER + ": \"" + text + "\" is not a positive number");
    }
}
