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
import org.nettlering.wire.transport.ControlGateway;

/**
 * Sends the requests of one port to the control leader, with a span around each.
 *
 * <p>Immutable and thread-safe. Futures complete on the context of the request.
 */
final class ControlForwarder {
    private static final String TIMEOUT_HEADER = "Nettlering-Timeout-Millis";

    private static final long MAX_TIMEOUT_MILLIS = 60_000;

    /** Reaches the control leader. */
    private final ControlGateway gateway;

    /** Starts the spans. */
    private final Telemetry telemetry;

    /** How long a request may take when its header names no time. */
    private final Duration defaultTimeout;

    ControlForwarder(ControlGateway gateway, Telemetry telemetry, Duration defaultTimeout) {
        this.gateway = gateway;
        this.telemetry = telemetry;
        this.defaultTimeout = defaultTimeout;
    }

    /** Asks about or changes the configuration. */
    Future<ConfigurationResponse> forwardConfigurationRequest(RoutingContext routing, ConfigurationRequest request) {
        Frame frame = Frame.newBuilder().setConfigurationRequest(request).build();
        return forward(routing, frame, true).map(Frame::getConfigurationResponse);
    }

    /** Asks about or changes jobs and workers. */
    Future<TaskResponse> forwardTaskRequest(RoutingContext routing, TaskRequest request) {
        Frame frame = Frame.newBuilder().setTaskRequest(request).build();
        return forward(routing, frame, true).map(Frame::getTaskResponse);
    }

    /** Asks about the control members. */
    Future<MembershipResponse> forwardMembershipRequest(RoutingContext routing, MembershipRequest request) {
        Frame frame = Frame.newBuilder().setMembershipRequest(request).build();
        return forward(routing, frame, request.hasList()).map(Frame::getMembershipResponse);
    }

    private Future<Frame> forward(RoutingContext routing, Frame frame, boolean repeatable) {
        Promise<Frame> promise = Promise.promise();
        Context context = routing.vertx().getOrCreateContext();
        TraceSpan span = telemetry.start(Hop.ENTRY_TO_CONTROL, HttpResponses.traceparentOf(routing));
        Frame traced = frame.toBuilder().setTraceparent(span.traceparent()).build();
        gateway.callLeader(traced, repeatable, timeoutOf(routing)).whenComplete((response, error) -> {
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
                ErrorCode.INVALID_ARGUMENT, "header " + TIMEOUT_HEADER + ": \"" + text + "\" is no positive number");
    }
}
