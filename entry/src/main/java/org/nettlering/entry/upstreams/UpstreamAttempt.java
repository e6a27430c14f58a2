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
 * One attempt to send a request to one upstream.
 *
 * <p>Calls its listener exactly once, with either the head of a response or a failure, unless it is cancelled first.
 * Confined to the Vert.x context of the request.
 */
public final class UpstreamAttempt {
    private static final int SERVICE_UNAVAILABLE = 503;

    private final UpstreamPool pool;
    private final AttemptListener listener;

    /** When the attempt started, in monotonic time. */
    private final long startNanos;

    private final TraceSpan span;

    /** The request on its connection, null until a connection was acquired. */
    private @Nullable HttpClientRequest request;

    /** True if the connection carried a complete response before. */
    private boolean onReusedConnection;

    private boolean spanEnded;

    /** True once the listener was called or the attempt was cancelled. */
    private boolean ended;

    /**
     * Creates an attempt without starting it.
     *
     * @param pool the connection pool of the upstream, not null
     * @param startNanos the start of the attempt, in nanoseconds of monotonic time
     * @param span the span of the attempt, which the attempt ends, not null
     * @param listener called with the result, not null
     */
    public UpstreamAttempt(UpstreamPool pool, long startNanos, TraceSpan span, AttemptListener listener) {
        this.span = span;
        this.pool = pool;
        this.startNanos = startNanos;
        this.listener = listener;
    }

    /**
     * Returns the address of the upstream.
     *
     * @return the address, never null
     */
    public UpstreamAddress upstream() {
        return pool.address();
    }

    /**
     * Returns when the attempt started.
     *
     * @return the monotonic time, in nanoseconds
     */
    public long startNanos() {
        return startNanos;
    }

    /**
     * Returns whether the request may have reached the upstream.
     *
     * @return true once a byte may have been sent
     */
    public boolean isSent() {
        return request != null;
    }

    /**
     * Returns whether the attempt uses a connection that carried a complete response before.
     *
     * @return true for a reused connection
     */
    public boolean isOnReusedConnection() {
        return onReusedConnection;
    }

    /**
     * Acquires a connection from the pool and sends the request.
     *
     * @param options the method, path and headers, not null
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

    /** Ends the attempt without calling the listener; a request that was sent is reset, which closes its connection. */
    public void cancel() {
        ended = true;
        endSpan("cancelled");
        HttpClientRequest sentRequest = request;
        if (sentRequest != null) {
            sentRequest.reset();
        }
    }

    /** Records that the complete response was received. */
    public void succeed() {
        spanEnded = true;
        span.end();
        HttpClientRequest sentRequest = request;
        if (sentRequest != null) {
            pool.markResponded(sentRequest.connection());
        }
    }

    /** Replaces all connections to the upstream by new ones. */
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
