package org.nettlering.wire.transport.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.DuplexChannel;
import io.netty.util.AttributeKey;
import io.netty.util.ReferenceCountUtil;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.net.impl.ConnectionBase;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.queue.RequestLimits;

/**
 * Keeps one connection of a client within the limits: the memory of heads, the time that a request may take to arrive, and
 * responses that are not read.
 *
 * <p>The first handler of its connection, so that it sees the bytes before they are decoded. Its methods are called on the
 * event loop of the connection, unless they say otherwise.
 */
final class ConnectionGuard extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<ConnectionGuard> KEY = AttributeKey.valueOf(ConnectionGuard.class, "guard");

    /** A field of a head takes up to this many times its bytes once it is decoded. */
    private static final long HEAD_COST_FACTOR = 32;

    /** How long the rest of a refused request is discarded, so that the response is not lost to a reset. */
    private static final Duration DISCARD_TIME = Duration.ofSeconds(1);

    /** What is discarded of a refused request at most, in bytes. */
    private static final long MAX_DISCARDED_BYTES = 1 << 20;

    /** A body that arrives for longer may give way to another connection. */
    private static final Duration SLOW_BODY_AGE = Duration.ofSeconds(1);

    private final ConnectionGuards guards;
    private final ChannelHandlerContext context;
    private final ReadSizes readSizes = new ReadSizes();

    private volatile Phase phase = Phase.BETWEEN_REQUESTS;

    /** When the phase began, by the monotonic clock. */
    private volatile long phaseNanos;

    /** When bytes last arrived, by the monotonic clock. */
    private volatile long readNanos;

    /** When the client last stopped reading what it is sent, by the monotonic clock; only valid while it has stopped. */
    private volatile long unwritableNanos;

    private volatile boolean writable = true;

    /** The requests so far, to see whether a read completed a head. */
    private long requests;

    /** The bytes of a head that is not complete, or of requests that were sent ahead. */
    private int headBytes;

    private RequestMemory.@Nullable Share headShare;

    /** True once the client was refused; the rest of what it sends is discarded. */
    private volatile boolean discarding;

    private long discardedBytes;

    /** Why a connection may be closed for the sake of another one; the first ones go first. */
    enum Expendability {
        /** Its request was refused. */
        REFUSED,
        /** It waits for a request. */
        UNUSED,
        /** Only part of a head has arrived; ordinary heads arrive at once. */
        INCOMPLETE_HEAD,
        /** Its body has been arriving for long. */
        SLOW_BODY,
        /** Its request will be answered. */
        NOT_EXPENDABLE
    }

    /** What the connection is used for. */
    private enum Phase {
        BETWEEN_REQUESTS,
        RECEIVING_HEAD,
        RECEIVING_BODY,
        RESPONDING
    }

    /** Returns the guard of the connection of a request. */
    static ConnectionGuard of(HttpConnection connection) {
        return ((ConnectionBase) connection).channel().attr(KEY).get();
    }

    /** Puts a guard in front of all other handlers of a connection. */
    static ConnectionGuard add(ConnectionGuards guards, HttpConnection connection) {
        ChannelHandlerContext context = ((ConnectionBase) connection).channelHandlerContext();
        ConnectionGuard guard = new ConnectionGuard(guards, context);
        context.channel().attr(KEY).set(guard);
        context.channel().config().setRecvByteBufAllocator(guard.readSizes);
        context.pipeline().addFirst(guard);
        return guard;
    }

    private ConnectionGuard(ConnectionGuards guards, ChannelHandlerContext context) {
        this.guards = guards;
        this.context = context;
        phaseNanos = guards.nanoTime();
        readNanos = phaseNanos;
    }

    /** Tells a gate that the limit on connections was applied, and lets it guard those to come. */
    void passed(AcceptGate gate) {
        gate.handled(context.channel());
        gate.install(context.channel().parent());
    }

    /** Notes that the head of a request is complete; returns the number of the request. */
    long beginRequest() {
        requests++;
        enter(Phase.RECEIVING_BODY);
        readSizes.beginRequest();
        closeHeadShare();
        return requests;
    }

    /** Notes a chunk of the body. */
    void receiveChunk() {
        readSizes.countChunk();
    }

    /** Notes that the request was received as a whole. */
    void endRequest() {
        if (phase == Phase.RECEIVING_BODY) {
            enter(Phase.RESPONDING);
        }
    }

    /**
     * Notes that the response to a request was written. Can be called on any thread; then the next request may have begun.
     *
     * @param number the number of the request
     */
    void endResponse(long number) {
        if (!context.executor().inEventLoop()) {
            context.executor().execute(() -> endResponse(number));
            return;
        }
        if (number == requests && phase == Phase.RESPONDING) {
            enter(Phase.BETWEEN_REQUESTS);
            closeHeadShare();
        }
    }

    /** Opens a share for the request that is being received. */
    RequestMemory.Share openShare(Runnable giveWay) {
        return guards.memory().open(() -> context.executor().execute(giveWay));
    }

    /** Counts a refusal that the server logs. */
    void countRefusal(RefusalReason reason) {
        guards.countRefusal(reason);
    }

    /** Counts and logs a refusal. */
    void refused(RefusalReason reason) {
        guards.refused(reason, context.channel().remoteAddress());
    }

    /**
     * Ends the connection, on which all was written; discards for a while what the client still sends.
     *
     * @param share the memory that the refused request holds until the connection is closed, not null
     */
    void closeAfterResponse(RequestMemory.Share share) {
        if (discarding || !context.channel().isActive()) {
            share.close();
            return;
        }
        discarding = true;
        closeHeadShare();
        headShare = share;
        if (context.channel() instanceof DuplexChannel channel) {
            var _ = channel.shutdownOutput();
        }
        context.channel().config().setAutoRead(true);
        guards.schedule(DISCARD_TIME, this::close);
    }

    /** Closes the connection at once, without the handlers that would write what they hold. Can be called on any thread. */
    void close() {
        var _ = context.close();
    }

    @Override
    public void channelRead(ChannelHandlerContext ignored, Object message) {
        if (!(message instanceof ByteBuf bytes)) {
            ignored.fireChannelRead(message);
            return;
        }
        int count = bytes.readableBytes();
        readNanos = guards.nanoTime();
        if (discarding) {
            discard(bytes, count);
            return;
        }
        boolean ofBody = phase == Phase.RECEIVING_BODY;
        long requestsBefore = requests;
        ignored.fireChannelRead(bytes);
        readSizes.recordRead(count);
        if (!ofBody && requests == requestsBefore) {
            chargeHead(count);
        }
    }

    private void discard(ByteBuf bytes, int count) {
        ReferenceCountUtil.release(bytes);
        discardedBytes += count;
        if (discardedBytes > MAX_DISCARDED_BYTES) {
            close();
        }
    }

    private void chargeHead(int count) {
        RequestMemory.Share share = headShare;
        if (share == null) {
            share = openShare(() -> refuseHead(RefusalReason.TOO_SLOW, "503 Service Unavailable"));
            headShare = share;
        }
        if (phase == Phase.BETWEEN_REQUESTS) {
            enter(Phase.RECEIVING_HEAD);
        }
        headBytes += count;
        share.received(count);
        if (!share.resize(headBytes * HEAD_COST_FACTOR)) {
            refuseHead(RefusalReason.NO_MEMORY, "503 Service Unavailable");
        }
    }

    /**
     * Responds to a head that is not complete, below the HTTP codec, which knows of no request yet. Closes the connection at
     * once, as the codec holds what it has decoded until then.
     */
    private void refuseHead(RefusalReason reason, String status) {
        if (discarding) {
            return;
        }
        refused(reason);
        if (phase == Phase.RECEIVING_HEAD) {
            String response =
                    "HTTP/1.1 " + status + "\r\nRetry-After: 1\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
            var _ = context.pipeline()
                    .firstContext()
                    .writeAndFlush(Unpooled.copiedBuffer(response, StandardCharsets.US_ASCII));
        }
        close();
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext ignored) {
        boolean nowWritable = ignored.channel().isWritable();
        if (writable && !nowWritable) {
            unwritableNanos = guards.nanoTime();
        }
        writable = nowWritable;
        ignored.channel().config().setAutoRead(nowWritable);
        ignored.fireChannelWritabilityChanged();
    }

    @Override
    public void channelInactive(ChannelHandlerContext ignored) {
        closeHeadShare();
        guards.remove(this);
        ignored.fireChannelInactive();
    }

    /** Closes the connection if it has used up its time. Can be called on any thread. */
    void closeIfOverdue(RequestLimits limits, Duration bodyTimeout, long nowNanos) {
        if (!context.channel().isOpen()) {
            // It was closed before its guard was there to see it.
            guards.remove(this);
            return;
        }
        RefusalReason reason = overdueReason(limits, bodyTimeout, nowNanos);
        if (reason != null) {
            context.executor().execute(() -> closeOverdue(reason, limits, bodyTimeout));
        }
    }

    private void closeOverdue(RefusalReason reason, RequestLimits limits, Duration bodyTimeout) {
        if (discarding || overdueReason(limits, bodyTimeout, guards.nanoTime()) != reason) {
            return;
        }
        if (reason == RefusalReason.HEAD_TIMEOUT) {
            refuseHead(reason, "408 Request Timeout");
            return;
        }
        refused(reason);
        close();
    }

    private @Nullable RefusalReason overdueReason(RequestLimits limits, Duration bodyTimeout, long nowNanos) {
        long idleNanos = Duration.ofMillis(limits.idleTimeoutMillis()).toNanos();
        if (!writable && nowNanos - unwritableNanos > idleNanos) {
            return RefusalReason.RESPONSE_NOT_READ;
        }
        long phaseAge = ageNanos(nowNanos);
        return switch (phase) {
            case BETWEEN_REQUESTS -> phaseAge > idleNanos ? RefusalReason.IDLE : null;
            case RECEIVING_HEAD ->
                phaseAge > Duration.ofMillis(limits.headerTimeoutMillis()).toNanos()
                        ? RefusalReason.HEAD_TIMEOUT
                        : null;
            case RECEIVING_BODY ->
                phaseAge > bodyTimeout.toNanos() || nowNanos - readNanos > idleNanos
                        ? RefusalReason.BODY_TIMEOUT
                        : null;
            case RESPONDING -> null;
        };
    }

    /**
     * Returns how little is lost if the connection is closed for the sake of another one. Can be called on any thread.
     *
     * @param nowNanos the monotonic time
     */
    Expendability expendability(long nowNanos) {
        if (discarding) {
            return Expendability.REFUSED;
        }
        return switch (phase) {
            case BETWEEN_REQUESTS -> Expendability.UNUSED;
            case RECEIVING_HEAD -> Expendability.INCOMPLETE_HEAD;
            case RECEIVING_BODY ->
                ageNanos(nowNanos) > SLOW_BODY_AGE.toNanos() ? Expendability.SLOW_BODY : Expendability.NOT_EXPENDABLE;
            case RESPONDING -> Expendability.NOT_EXPENDABLE;
        };
    }

    /** Returns how long the connection has been in its phase. Can be called on any thread. */
    long ageNanos(long nowNanos) {
        return nowNanos - phaseNanos;
    }

    private void enter(Phase next) {
        phase = next;
        phaseNanos = guards.nanoTime();
    }

    private void closeHeadShare() {
        headBytes = 0;
        RequestMemory.Share share = headShare;
        headShare = null;
        if (share != null) {
            share.close();
        }
    }
}
