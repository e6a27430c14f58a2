package org.nettlering.entry.callers;

import io.vertx.core.Future;
import io.vertx.core.Promise;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpServerRequest;
import org.nettlering.domain.error.ErrorCode;

/**
 * The body of a caller's request: buffered completely up to a limit, streamed beyond it.
 *
 * <p>A body within the limit can be sent by several attempts. Of a larger body only the start is buffered; the first attempt
 * streams the rest, after which the body cannot be sent again. Confined to the Vert.x context of the request.
 */
final class RequestBody {
    private final HttpServerRequest request;

    /** Limit of the buffer; a longer body is streamed. */
    private final int replayBytes;

    /** Longest body that is accepted. */
    private final long maximumBytes;

    /** The bytes received before streaming. */
    private final Buffer buffered = Buffer.buffer();

    /** Completed when the body is complete or exceeds the buffer limit. */
    private final Promise<Void> ready = Promise.promise();

    private long receivedBytes;

    /** True once the complete body is buffered. */
    private boolean complete;

    /** True once an attempt streams the rest of the body. */
    private boolean streaming;

    RequestBody(HttpServerRequest request, int replayBytes, long maximumBytes) {
        this.request = request;
        this.replayBytes = replayBytes;
        this.maximumBytes = maximumBytes;
    }

    /** Starts reading; the future completes when the body is complete or exceeds the buffer limit. */
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

    /** Returns whether the body can still be sent from its first byte. */
    boolean isReplayable() {
        return complete || !streaming;
    }

    /** Returns whether the complete body is buffered. */
    boolean isComplete() {
        return complete;
    }

    /** Returns the bytes received before streaming. */
    Buffer buffered() {
        return buffered;
    }

    /** Sends the body; the part that is not buffered is streamed with back pressure from the upstream. */
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
