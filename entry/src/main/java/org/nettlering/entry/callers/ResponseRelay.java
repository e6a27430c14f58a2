package org.nettlering.entry.callers;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.ledger.LedgerState;
import org.nettlering.domain.ledger.StoredHeader;
import org.nettlering.domain.ledger.StoredResponse;

/**
 * Forwards an upstream's response to the caller.
 *
 * <ul>
 *   <li>A response whose declared length is within the buffer limit is buffered until it is complete, so that the request
 *       can be retried if the response is truncated.
 *   <li>A larger or chunked response is streamed with back pressure from the caller.
 *   <li>A response that is neither chunked nor of a declared length is treated as truncated, because its end cannot be
 *       distinguished from a lost connection.
 * </ul>
 *
 * <p>Confined to the Vert.x context of the request.
 */
final class ResponseRelay {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** The upstream's response, paused until {@link #start}. */
    private final HttpClientResponse upstreamResponse;

    private final HttpServerResponse callerResponse;

    /** Longest response body that is buffered before it is forwarded. */
    private final int bufferLimitBytes;

    private final Listener listener;

    /** The start of the body, to be stored in the ledger. */
    private final Buffer storedBody = Buffer.buffer();

    /** True if the response is stored for resends of the request. */
    private final boolean storesResponse;

    /** True once the body exceeds the size that the ledger stores. */
    private boolean tooLargeToStore;

    /** True once the head has been written to the caller. */
    private boolean headSent;

    /** True once the listener was called or the relay was stopped. */
    private boolean finished;

    ResponseRelay(
            HttpClientResponse upstreamResponse,
            HttpServerResponse callerResponse,
            int bufferLimitBytes,
            boolean storesResponse,
            Listener listener) {
        this.upstreamResponse = upstreamResponse;
        this.callerResponse = callerResponse;
        this.bufferLimitBytes = bufferLimitBytes;
        this.storesResponse = storesResponse;
        this.listener = listener;
    }

    /** Returns whether a part of the response has been sent to the caller. */
    boolean hasSentHead() {
        return headSent;
    }

    void start() {
        long length = contentLength();
        if (hasNoBody()) {
            sendBuffered();
            return;
        }
        if (length < 0 && !isChunked()) {
            failTruncated();
            return;
        }
        if (length >= 0 && length <= bufferLimitBytes) {
            sendBuffered();
            return;
        }
        stream(length);
    }

    /** Stops without calling the listener. */
    void stop() {
        finished = true;
    }

    private void sendBuffered() {
        upstreamResponse.body().onComplete(body -> {
            if (finished) {
                return;
            }
            if (body.failed()) {
                failTruncated();
                return;
            }
            storeChunk(body.result());
            if (callerResponse.closed()) {
                complete();
                return;
            }
            writeHead(body.result().length());
            headSent = true;
            callerResponse.end(body.result()).onComplete(written -> complete());
        });
        upstreamResponse.resume();
    }

    private void stream(long length) {
        writeHead(length);
        headSent = true;
        upstreamResponse.handler(this::forward);
        upstreamResponse.exceptionHandler(failure -> failTruncated());
        upstreamResponse.endHandler(nothing -> finishStream());
        upstreamResponse.resume();
    }

    private void forward(Buffer chunk) {
        if (finished) {
            return;
        }
        storeChunk(chunk);
        if (callerResponse.closed()) {
            return;
        }
        callerResponse.write(chunk);
        if (callerResponse.writeQueueFull()) {
            upstreamResponse.pause();
            callerResponse.drainHandler(nothing -> upstreamResponse.resume());
        }
    }

    private void finishStream() {
        if (finished) {
            return;
        }
        if (callerResponse.closed()) {
            complete();
            return;
        }
        callerResponse.end().onComplete(written -> complete());
    }

    private void writeHead(long length) {
        callerResponse.setStatusCode(upstreamResponse.statusCode());
        for (Map.Entry<String, String> header : upstreamResponse.headers()) {
            if (isForwarded(header.getKey())) {
                callerResponse.headers().add(header.getKey(), header.getValue());
            }
        }
        if (length < 0) {
            callerResponse.setChunked(true);
        } else if (!hasNoBody()) {
            callerResponse.putHeader("Content-Length", Long.toString(length));
        }
    }

    private static boolean isForwarded(String name) {
        return !HeaderNames.isHopByHop(name) && !HeaderNames.WRITTEN_BY_ENTRY.contains(name.toLowerCase(Locale.ROOT));
    }

    private boolean hasNoBody() {
        int status = upstreamResponse.statusCode();
        return HttpMethod.HEAD.equals(upstreamResponse.request().getMethod())
                || status == NO_CONTENT
                || status == NOT_MODIFIED;
    }

    private boolean isChunked() {
        String encoding = upstreamResponse.getHeader("Transfer-Encoding");
        return encoding != null && encoding.toLowerCase(Locale.ROOT).endsWith("chunked");
    }

    private long contentLength() {
        String text = upstreamResponse.getHeader("Content-Length");
        if (text == null) {
            return -1;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException exception) {
            return -1;
        }
    }

    private void storeChunk(Buffer chunk) {
        if (!storesResponse || tooLargeToStore) {
            return;
        }
        if (storedBody.length() + chunk.length() > LedgerState.MAXIMUM_RESPONSE_BODY_BYTES) {
            tooLargeToStore = true;
            return;
        }
        storedBody.appendBuffer(chunk);
    }

    private @Nullable StoredResponse storedResponse() {
        if (!storesResponse) {
            return null;
        }
        List<StoredHeader> headers = new ArrayList<>();
        for (Map.Entry<String, String> header : upstreamResponse.headers()) {
            if (isForwarded(header.getKey()) && !header.getKey().equalsIgnoreCase("Content-Length")) {
                headers.add(new StoredHeader(header.getKey(), header.getValue()));
            }
        }
        return tooLargeToStore
                ? StoredResponse.withoutBody(upstreamResponse.statusCode(), headers)
                : StoredResponse.of(upstreamResponse.statusCode(), headers, storedBody.getBytes());
    }

    private void complete() {
        if (finished) {
            return;
        }
        finished = true;
        listener.onResponseComplete(storedResponse());
    }

    private void failTruncated() {
        if (finished) {
            return;
        }
        finished = true;
        listener.onResponseTruncated(headSent);
    }

    /** Receives the result of the relay. */
    interface Listener {
        /** Called when the complete response was sent; the stored response is null if none is to be stored. */
        void onResponseComplete(@Nullable StoredResponse storedResponse);

        /** Called when the upstream's response was truncated; {@code headSent} says whether a part reached the caller. */
        void onResponseTruncated(boolean headSent);
    }
}
