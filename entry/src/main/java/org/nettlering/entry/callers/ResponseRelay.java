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
 * Passes one upstream's answer on to the caller.
 *
 * <p>An answer of a known and small length is held until it is whole, so that one that is cut short can be tried again. A
 * larger one is streamed with the speed of the slower side. Used on the request's own context only.
 */
final class ResponseRelay {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** The upstream's answer, paused. */
    private final HttpClientResponse upstreamResponse;

    /** The answer to the caller. */
    private final HttpServerResponse callerResponse;

    /** How many bytes are held until they are whole. */
    private final int bufferLimitBytes;

    /** Hears how it ended. */
    private final Listener listener;

    /** The beginning of the body, for the ledger. */
    private final Buffer storedBody = Buffer.buffer();

    /** True when the answer is kept for resends. */
    private final boolean storesResponse;

    /** True when the body is larger than what is kept. */
    private boolean tooLargeToStore;

    /** True once the caller has got the head. */
    private boolean headSent;

    /** True once the end was reported, or the relay was stopped. */
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

    /** Tells whether the caller has got a part of the answer. */
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

    /** Stops without a report. */
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

    /** Hears how the answer ended. */
    interface Listener {
        /** The whole answer has left; the kept answer is null when none is kept. */
        void onResponseComplete(@Nullable StoredResponse storedResponse);

        /** The answer was cut short; some of it may have been passed on. */
        void onResponseTruncated(boolean headSent);
    }
}
