package org.nettlering.entry.operators;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.Message;
import com.google.protobuf.MessageOrBuilder;
import com.google.protobuf.util.JsonFormat;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.HttpException;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.entry.callers.HeaderNames;
import org.nettlering.runtime.trace.Hop;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.runtime.trace.TraceSpan;
import org.nettlering.wire.transport.FrameFailureException;

/** Reads messages from request bodies and writes messages and errors as answers. */
final class HttpResponses {
    private static final String SPAN_KEY = "nettlering.span";

    private static final int MILLIS_PER_SECOND = 1000;

    private static final int SERVICE_UNAVAILABLE = 503;

    private static final JsonFormat.Printer PRINTER = JsonFormat.printer().alwaysPrintFieldsWithNoPresence();

    private static final JsonFormat.Printer COMPACT_PRINTER =
            JsonFormat.printer().omittingInsignificantWhitespace();

    private HttpResponses() {}

    /** Starts the span of a request; the answer ends it. */
    static void startSpan(RoutingContext routing, Telemetry telemetry) {
        String traceparent = routing.request().getHeader(HeaderNames.TRACEPARENT);
        TraceSpan span = telemetry.start(Hop.CALLER_TO_ENTRY, traceparent == null ? "" : traceparent);
        span.attribute("path", routing.request().path());
        routing.put(SPAN_KEY, span);
        routing.addEndHandler(done -> span.end());
        routing.next();
    }

    /** Returns the trace context for the next hop. */
    static String traceparentOf(RoutingContext routing) {
        TraceSpan span = routing.get(SPAN_KEY);
        return span == null ? "" : span.traceparent();
    }

    /** Parses the body of a request. */
    static <B extends Message.Builder> B parseBody(RoutingContext routing, B builder) {
        String text = routing.body().asString();
        try {
            JsonFormat.parser().merge(text == null ? "" : text, builder);
            return builder;
        } catch (InvalidProtocolBufferException exception) {
            String name = builder.getDescriptorForType().getName();
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "the body is no " + name + ": " + exception.getMessage(), exception);
        }
    }

    /** Answers with a message in which every field is written out. */
    static void sendMessage(RoutingContext routing, int status, MessageOrBuilder message) {
        sendMessage(routing, status, message, PRINTER);
    }

    /** Answers with a message in which default values are left out. */
    static void sendCompactMessage(RoutingContext routing, MessageOrBuilder message) {
        sendMessage(routing, 200, message, COMPACT_PRINTER);
    }

    private static void sendMessage(
            RoutingContext routing, int status, MessageOrBuilder message, JsonFormat.Printer printer) {
        try {
            send(routing, status, printer.print(message));
        } catch (InvalidProtocolBufferException exception) {
            sendError(routing, exception);
        }
    }

    /** Answers with an error: status, code, outcome and, on refusals, when to come back. */
    static void sendError(RoutingContext routing, Throwable error) {
        ErrorCode code = codeOf(error);
        HttpServerResponse response = routing.response();
        response.putHeader(HeaderNames.ERROR, code.text());
        response.putHeader(HeaderNames.OUTCOME, FrameFailureException.isNotRun(error) ? "not-run" : "unknown");
        if (code.httpStatus() == SERVICE_UNAVAILABLE) {
            response.putHeader(HeaderNames.RETRY_AFTER, String.valueOf(retryAfterSeconds(error)));
        }
        JsonObject body = new JsonObject().put("error", code.text()).put("message", messageOf(error));
        send(routing, code.httpStatus(), body.encode());
    }

    /** Answers a request that failed in the router itself. */
    static void handleRouterFailure(RoutingContext routing) {
        Throwable error = routing.failure();
        if (error instanceof NettleringException || error == null) {
            sendError(routing, error == null ? exceptionForStatus(routing.statusCode()) : error);
            return;
        }
        sendError(routing, error instanceof HttpException http ? exceptionForStatus(http.getStatusCode()) : error);
    }

    /** Returns the stable code of an error. */
    static ErrorCode codeOf(Throwable error) {
        return error instanceof NettleringException exception ? exception.code() : ErrorCode.INTERNAL;
    }

    private static NettleringException exceptionForStatus(int status) {
        return switch (status) {
            case 413 -> new NettleringException(ErrorCode.TOO_LARGE, "the body is too large");
            case 404, 405 -> new NettleringException(ErrorCode.NOT_FOUND, "there is no such resource");
            default -> new NettleringException(ErrorCode.INVALID_ARGUMENT, "the request cannot be read");
        };
    }

    private static String messageOf(Throwable error) {
        return error instanceof NettleringException
                ? String.valueOf(error.getMessage())
                : "the entry failed unexpectedly";
    }

    private static int retryAfterSeconds(Throwable error) {
        int millis = error instanceof FrameFailureException failure ? failure.retryAfterMillis() : 0;
        return Math.max(1, (millis + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND);
    }

    private static void send(RoutingContext routing, int status, String body) {
        if (routing.response().ended() || routing.response().closed()) {
            return;
        }
        routing.response()
                .setStatusCode(status)
                .putHeader("Content-Type", "application/json")
                .end(body + "\n");
    }
}
