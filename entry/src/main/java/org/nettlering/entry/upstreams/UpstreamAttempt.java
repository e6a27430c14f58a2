package org.nettlering.entry.upstreams;

import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.RequestOptions;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.retry.AttemptOutcome;
import org.nettlering.domain.retry.RequestOutcome;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.entry.callers.HeaderNames;
import org.nettlering.runtime.trace.TraceSpan;

/**
 * One try of a request at one upstream.
 *
 * <p>Reports exactly one of an answer's head or a failure, unless it was cancelled. Used on the request's own context only.
 */
public final class UpstreamAttempt {
    private static final int SERVICE_UNAVAILABLE = 503;

    /** The connections to the upstream. */
    private final UpstreamPool pool;

    /** Hears of the attempt. */
    private final AttemptListener listener;

    /** When the attempt began, in monotonic time. */
    private final long startNanos;

    /** The span of the attempt. */
    private final TraceSpan span;

    /** The request on its connection, null before there is one. */
    private @Nullable HttpClientRequest request;

    /** True when the connection had carried an answer before. */
    private boolean onReusedConnection;

    /** True once the span has ended. */
    private boolean spanEnded;

    /** True once the attempt was reported or cancelled. */
    private boolean ended;

    /**
     * Creates an attempt that was not started.
     *
     * @param pool the connections to the upstream, not null
     * @param startNanos the monotonic time, in nanoseconds
     * @param span the span of the attempt, ended by it, not null
     * @param listener hears of the attempt, not null
     */
    public UpstreamAttempt(UpstreamPool pool, long startNanos, TraceSpan span, AttemptListener listener) {
        this.span = span;
        this.pool = pool;
        this.startNanos = startNanos;
        this.listener = listener;
    }

    /**
     * Returns the upstream.
     *
     * @return the address, never null
     */
    public UpstreamAddress upstream() {
        return pool.address();
    }

    /**
     * Returns when the attempt began.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long startNanos() {
        return startNanos;
    }

    /**
     * Tells whether the request may have reached the upstream.
     *
     * @return true once a byte may have been sent
     */
    public boolean isSent() {
        return request != null;
    }

    /**
     * Tells whether the attempt uses a connection that had carried an answer before.
     *
     * @return true for a used connection
     */
    public boolean isOnReusedConnection() {
        return onReusedConnection;
    }

    /**
     * Opens or takes a connection and sends the request.
     *
     * @param options the method, the path and the headers, not null
     * @param sender sends the body, not null
     */
    public void start(RequestOptions options, Consumer<HttpClientRequest> sender) {
        pool.request(options).onComplete(newRequest -> {
            if (newRequest.failed()) {
                fail(new AttemptOutcome.NotRun(ErrorCode.CONNECTION_LOST));
                return;
            }
            if (ended) {
                newRequest.result().reset();
                return;
            }
            send(newRequest.result(), sender);
        });
    }

    /** Ends the attempt without a report; a request that was sent closes its connection. */
    public void cancel() {
        ended = true;
        endSpan("cancelled");
        HttpClientRequest sentRequest = request;
        if (sentRequest != null) {
            sentRequest.reset();
        }
    }

    /** Notes that the whole answer has come. */
    public void succeed() {
        spanEnded = true;
        span.end();
        HttpClientRequest sentRequest = request;
        if (sentRequest != null) {
            pool.markResponded(sentRequest.connection());
        }
    }

    /** Replaces the connections to the upstream. */
    public void replaceConnections() {
        pool.replaceConnections();
    }

    private void send(HttpClientRequest newRequest, Consumer<HttpClientRequest> sender) {
        request = newRequest;
        onReusedConnection = pool.hasResponded(newRequest.connection());
        newRequest.exceptionHandler(failure -> fail(new AttemptOutcome.Unknown(ErrorCode.UPSTREAM_FAILED)));
        newRequest.response().onComplete(response -> {
            if (response.failed()) {
                fail(new AttemptOutcome.Unknown(ErrorCode.UPSTREAM_FAILED));
                return;
            }
            receive(response.result());
        });
        sender.accept(newRequest);
    }

    private void receive(HttpClientResponse response) {
        if (ended) {
            return;
        }
        response.pause();
        if (isRejection(response)) {
            response.resume();
            fail(new AttemptOutcome.NotRun(ErrorCode.OVERLOADED));
            return;
        }
        ended = true;
        listener.onResponseHead(this, response);
    }

    private static boolean isRejection(HttpClientResponse response) {
        return response.statusCode() == SERVICE_UNAVAILABLE
                && RequestOutcome.NOT_RUN.text().equals(response.getHeader(HeaderNames.OUTCOME));
    }

    private void endSpan(String code) {
        if (!spanEnded) {
            spanEnded = true;
            span.fail(code);
        }
    }

    private void fail(AttemptOutcome outcome) {
        if (ended) {
            return;
        }
        ended = true;
        endSpan(outcome instanceof AttemptOutcome.NotRun ? "not-run" : "unknown");
        listener.onAttemptFailed(this, outcome);
    }
}
