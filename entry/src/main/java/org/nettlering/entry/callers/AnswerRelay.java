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
final class AnswerRelay {
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;

    /** The upstream's answer, paused. */
    private final HttpClientResponse upstream;

    /** The answer to the caller. */
    private final HttpServerResponse caller;

    /** How many bytes are held until they are whole. */
    private final int holdBytes;

    /** Hears how it ended. */
    private final Listener listener;

    /** The beginning of the body, for the ledger. */
    private final Buffer kept = Buffer.buffer();

    /** True when the answer is kept for resends. */
    private final boolean keeps;

    /** True when the body is larger than what is kept. */
    private boolean tooLargeToKeep;

    /** True once the caller has got the head. */
    private boolean passedOn;

    /** True once the end was reported, or the relay was stopped. */
    private boolean ended;

    AnswerRelay(
            HttpClientResponse upstream, HttpServerResponse caller, int holdBytes, boolean keeps, Listener listener) {
        this.upstream = upstream;
        this.caller = caller;
        this.holdBytes = holdBytes;
        this.keeps = keeps;
        this.listener = listener;
    }

    /** Tells whether the caller has got a part of the answer. */
    boolean hasPassedOn() {
        return passedOn;
    }

    void start() {
        long length = contentLength();
        if (hasNoBody()) {
            hold();
            return;
        }
        if (length < 0 && !isChunked()) {
            cut();
            return;
        }
        if (length >= 0 && length <= holdBytes) {
            hold();
            return;
        }
        stream(length);
    }

    /** Stops without a report. */
    void stop() {
        ended = true;
    }

    private void hold() {
        upstream.body().onComplete(body -> {
            if (ended) {
                return;
            }
            if (body.failed()) {
                cut();
                return;
            }
            keep(body.result());
            if (caller.closed()) {
                whole();
                return;
            }
            writeHead(body.result().length());
            passedOn = true;
            caller.end(body.result()).onComplete(written -> whole());
        });
        upstream.resume();
    }

    private void stream(long length) {
        writeHead(length);
        passedOn = true;
        upstream.handler(this::pass);
        upstream.exceptionHandler(failure -> cut());
        upstream.endHandler(nothing -> endStream());
        upstream.resume();
    }

    private void pass(Buffer chunk) {
        if (ended) {
            return;
        }
        keep(chunk);
        if (caller.closed()) {
            return;
        }
        caller.write(chunk);
        if (caller.writeQueueFull()) {
            upstream.pause();
            caller.drainHandler(nothing -> upstream.resume());
        }
    }

    private void endStream() {
        if (ended) {
            return;
        }
        if (caller.closed()) {
            whole();
            return;
        }
        caller.end().onComplete(written -> whole());
    }

    private void writeHead(long length) {
        caller.setStatusCode(upstream.statusCode());
        for (Map.Entry<String, String> header : upstream.headers()) {
            if (isPassedOn(header.getKey())) {
                caller.headers().add(header.getKey(), header.getValue());
            }
        }
        if (length < 0) {
            caller.setChunked(true);
        } else if (!hasNoBody()) {
            caller.putHeader("Content-Length", Long.toString(length));
        }
    }

    private static boolean isPassedOn(String name) {
        return !HeaderNames.isHopByHop(name) && !HeaderNames.WRITTEN_BY_ENTRY.contains(name.toLowerCase(Locale.ROOT));
    }

    private boolean hasNoBody() {
        int status = upstream.statusCode();
        return HttpMethod.HEAD.equals(upstream.request().getMethod()) || status == NO_CONTENT || status == NOT_MODIFIED;
    }

    private boolean isChunked() {
        String encoding = upstream.getHeader("Transfer-Encoding");
        return encoding != null && encoding.toLowerCase(Locale.ROOT).endsWith("chunked");
    }

    private long contentLength() {
        String text = upstream.getHeader("Content-Length");
        if (text == null) {
            return -1;
        }
        try {
            return Long.parseLong(text);
        } catch (NumberFormatException exception) {
            return -1;
        }
    }

    private void keep(Buffer chunk) {
        if (!keeps || tooLargeToKeep) {
            return;
        }
        if (kept.length() + chunk.length() > LedgerState.MAXIMUM_RESPONSE_BODY_BYTES) {
            tooLargeToKeep = true;
            return;
        }
        kept.appendBuffer(chunk);
    }

    private @Nullable StoredResponse keptAnswer() {
        if (!keeps) {
            return null;
        }
        List<StoredHeader> headers = new ArrayList<>();
        for (Map.Entry<String, String> header : upstream.headers()) {
            if (isPassedOn(header.getKey()) && !header.getKey().equalsIgnoreCase("Content-Length")) {
                headers.add(new StoredHeader(header.getKey(), header.getValue()));
            }
        }
        return tooLargeToKeep
                ? StoredResponse.withoutBody(upstream.statusCode(), headers)
                : StoredResponse.of(upstream.statusCode(), headers, kept.getBytes());
    }

    private void whole() {
        if (ended) {
            return;
        }
        ended = true;
        listener.answerEnded(keptAnswer());
    }

    private void cut() {
        if (ended) {
            return;
        }
        ended = true;
        listener.answerCut(passedOn);
    }

    /** Hears how the answer ended. */
    interface Listener {
        /** The whole answer has left; the kept answer is null when none is kept. */
        void answerEnded(@Nullable StoredResponse answer);

        /** The answer was cut short; some of it may have been passed on. */
        void answerCut(boolean afterPassingOn);
    }
}
