package org.nettlering.wire.transport.http;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.nettlering.domain.queue.RequestLimits;

/**
 * One request within the limits of its server: reads its body and holds its memory until the response is written.
 *
 * <p>A request that is refused here was passed on to nobody. Its methods are called on the event loop of the connection,
 * unless they say otherwise.
 */
public final class GuardedRequest {
    /** What a field of a head takes beside its characters, in bytes. */
    private static final int FIELD_BYTES = 150;

    /** The separators of a field: a colon, a space and the end of the line. */
    private static final int FIELD_SEPARATORS = 4;

    private static final long UNKNOWN_LENGTH = -1;

    private final ConnectionGuards guards;
    private final ConnectionGuard connection;
    private final HttpServerRequest request;
    private final RequestMemory.Share share;
    private final int maxBodyBytes;

    /** The number of the request on its connection. */
    private final long number;

    /** Who needs the memory: the connection, and what was passed on. */
    private final AtomicInteger holders = new AtomicInteger(1);

    /** True once the connection does not need the memory any more. */
    private final AtomicBoolean released = new AtomicBoolean();

    /** The size of the head, as the limits of the operator count it, in bytes. */
    private int headBytes;

    /** What the decoded head takes, in bytes. */
    private int headMemory;

    private long receivedBytes;

    /** True once the request was passed on or refused. */
    private boolean decided;

    /** True if there is memory for the head of a refused request, so that its connection may stay open for a while. */
    private boolean headHeld;

    private Consumer<RefusalReason> refusalHandler = reason -> {};

    /**
     * Begins to guard a request whose head is complete.
     *
     * @param guards the guards of the server, not null
     * @param request the request, not null
     * @return the guarded request, never null
     */
    public static GuardedRequest begin(ConnectionGuards guards, HttpServerRequest request) {
        return new GuardedRequest(guards, request);
    }

    private GuardedRequest(ConnectionGuards guards, HttpServerRequest request) {
        this.guards = guards;
        this.request = request;
        connection = ConnectionGuard.of(request.connection());
        number = connection.beginRequest();
        share = connection.openShare(() -> refuse(RefusalReason.TOO_SLOW));
        maxBodyBytes = Math.min(guards.requestLimits().maxBodyBytes(), guards.maxBodyBytes());
        measureHead();
    }

    private void measureHead() {
        headBytes = request.uri().length();
        headMemory = headBytes;
        for (Map.Entry<String, String> field : request.headers()) {
            int characters = field.getKey().length() + field.getValue().length();
            headBytes += characters + FIELD_SEPARATORS;
            headMemory += characters + FIELD_BYTES;
        }
    }

    /**
     * Reads the body.
     *
     * @param whole called with the body once it is complete, not null
     * @param refused called instead if the request exceeds a limit; the rest of it is ignored, not null
     */
    public void readBody(Consumer<String> whole, Consumer<RefusalReason> refused) {
        BodyBuffer body = new BodyBuffer(share, maxBodyBytes);
        receive(
                chunk -> {
                    if (!body.append(chunk)) {
                        refuse(RefusalReason.NO_MEMORY);
                    }
                },
                () -> whole.accept(body.takeText()),
                refused);
    }

    /**
     * Ignores the body, which the request does not need, but waits for its end.
     *
     * @param whole called once the request is complete, not null
     * @param refused called instead if the request exceeds a limit, not null
     */
    public void skipBody(Runnable whole, Consumer<RefusalReason> refused) {
        receive(chunk -> {}, whole, refused);
    }

    private void receive(Consumer<Buffer> onChunk, Runnable whole, Consumer<RefusalReason> refused) {
        refusalHandler = refused;
        Optional<RefusalReason> refusal = refusalByHead();
        if (refusal.isPresent()) {
            refuse(refusal.get());
            return;
        }
        request.handler(chunk -> {
            connection.receiveChunk();
            share.received(chunk.length());
            receivedBytes += chunk.length();
            if (decided) {
                return;
            }
            if (receivedBytes > maxBodyBytes) {
                refuse(RefusalReason.BODY_TOO_LARGE);
                return;
            }
            onChunk.accept(chunk);
        });
        request.endHandler(end -> {
            connection.endRequest();
            if (decided) {
                return;
            }
            decided = true;
            share.complete();
            whole.run();
        });
        continueIfExpected();
    }

    private Optional<RefusalReason> refusalByHead() {
        RequestLimits limits = guards.requestLimits();
        if (headBytes > limits.maxHeaderBytes()) {
            return Optional.of(RefusalReason.HEAD_TOO_LARGE);
        }
        if (announcedBytes() > maxBodyBytes) {
            return Optional.of(RefusalReason.BODY_TOO_LARGE);
        }
        return share.resize(headMemory) ? Optional.empty() : Optional.of(RefusalReason.NO_MEMORY);
    }

    private long announcedBytes() {
        String announced = request.getHeader("Content-Length");
        try {
            return announced == null ? UNKNOWN_LENGTH : Long.parseLong(announced);
        } catch (NumberFormatException malformed) {
            return UNKNOWN_LENGTH;
        }
    }

    private void continueIfExpected() {
        if ("100-continue".equalsIgnoreCase(request.getHeader("Expect"))) {
            var _ = request.response().writeContinue();
        }
    }

    private void refuse(RefusalReason reason) {
        if (decided) {
            return;
        }
        decided = true;
        headHeld = share.resize(headMemory);
        share.complete();
        request.handler(chunk -> connection.receiveChunk());
        connection.countRefusal(reason);
        refusalHandler.accept(reason);
    }

    /**
     * Holds memory for what is passed on of the request, until {@link #passedOnEnded()} is called, even if its connection is
     * closed meanwhile.
     *
     * @param bytes what is held of the request beside its head, in bytes
     * @return false if there is no memory for it; then the request must not be passed on
     */
    public boolean hold(long bytes) {
        if (!share.resize(headMemory + bytes)) {
            connection.countRefusal(RefusalReason.NO_MEMORY);
            return false;
        }
        holders.incrementAndGet();
        return true;
    }

    /** Notes that nothing of the request that was passed on is held any more. Can be called on any thread. */
    public void passedOnEnded() {
        dropHolder();
    }

    /** Gives the memory back, as the response was written or the connection is closed. Can be called on any thread. */
    public void release() {
        if (released.compareAndSet(false, true)) {
            dropHolder();
        }
    }

    private void dropHolder() {
        if (holders.decrementAndGet() == 0) {
            share.close();
        }
    }

    /** Notes that the response was written, and gives the memory back, unless the rest of the request is still discarded. */
    public void endResponse() {
        if (!headHeld) {
            release();
        }
        connection.endResponse(number);
    }

    /**
     * Writes the response of a refused request, whose status and headers are set, and closes the connection once it is sent.
     *
     * @param body the body of the response, not null
     */
    public void respondAndClose(String body) {
        HttpServerResponse response = request.response();
        if (response.ended() || response.closed()) {
            release();
            return;
        }
        response.putHeader("Connection", "close").end(body).onComplete(written -> endConnection());
    }

    private void endConnection() {
        if (headHeld) {
            connection.closeAfterResponse(share);
        } else {
            connection.close();
        }
    }
}
