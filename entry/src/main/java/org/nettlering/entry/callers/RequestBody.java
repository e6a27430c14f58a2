package org.nettlering.entry.callers;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import org.nettlering.domain.error.ErrorCode;

/**
 * The body of a caller's request: held as a whole up to a bound, streamed beyond it.
 *
 * <p>A body within the bound can be sent again; of a larger one only the beginning is held until the first attempt streams
 * it. Used on the request's own context only.
 */
final class RequestBody {
    /** The request. */
    private final HttpServerRequest request;

    /** How many bytes are held at most before the body is streamed. */
    private final int replayBytes;

    /** How many bytes the whole body may have. */
    private final long maximumBytes;

    /** What was received before streaming. */
    private final Buffer buffered = Buffer.buffer();

    /** Completed when the body is whole or larger than the bound. */
    private final Promise<Void> ready = Promise.promise();

    /** How many bytes were received. */
    private long receivedBytes;

    /** True when the whole body is held. */
    private boolean complete;

    /** True once the rest was given to an attempt. */
    private boolean streaming;

    RequestBody(HttpServerRequest request, int replayBytes, long maximumBytes) {
        this.request = request;
        this.replayBytes = replayBytes;
        this.maximumBytes = maximumBytes;
    }

    /** Begins to read; completes when the body is whole or larger than the bound. */
    Future<Void> read() {
        request.exceptionHandler(ready::tryFail);
        request.handler(this::buffer);
        request.endHandler(nothing -> {
            complete = true;
            ready.tryComplete();
        });
        request.resume();
        return ready.future();
    }

    /** Tells whether everything that was received can still be sent. */
    boolean isReplayable() {
        return complete || !streaming;
    }

    /** Tells whether the whole body is held. */
    boolean isComplete() {
        return complete;
    }

    /** Returns what was received before streaming. */
    Buffer buffered() {
        return buffered;
    }

    /** Sends the body; what is not held is streamed with the speed of the slower side. */
    void sendTo(HttpClientRequest upstream, long declaredLength) {
        if (complete) {
            upstream.end(buffered);
            return;
        }
        streaming = true;
        if (declaredLength < 0) {
            upstream.setChunked(true);
        }
        upstream.write(buffered);
        request.handler(chunk -> forward(chunk, upstream));
        request.endHandler(nothing -> upstream.end());
        request.exceptionHandler(failure -> upstream.reset());
        request.resume();
    }

    private void buffer(Buffer chunk) {
        countBytes(chunk);
        buffered.appendBuffer(chunk);
        if (buffered.length() > replayBytes) {
            request.pause();
            ready.tryComplete();
        }
    }

    private void forward(Buffer chunk, HttpClientRequest upstream) {
        receivedBytes += chunk.length();
        if (receivedBytes > maximumBytes) {
            request.pause();
            upstream.reset();
            return;
        }
        upstream.write(chunk);
        if (upstream.writeQueueFull()) {
            request.pause();
            upstream.drainHandler(nothing -> request.resume());
        }
    }

    private void countBytes(Buffer chunk) {
        receivedBytes += chunk.length();
        if (receivedBytes > maximumBytes) {
            request.pause();
            ready.tryFail(new InvalidRequestException(
                    ErrorCode.TOO_LARGE, "body_too_large", "the body is larger than " + maximumBytes + " bytes"));
        }
    }
}
