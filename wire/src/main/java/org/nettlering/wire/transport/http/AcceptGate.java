package org.nettlering.wire.transport.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.util.AttributeKey;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Accepts no more connections while several wait for their event loop, so that a crowd does not take the descriptors before the
 * limit on connections is applied to it. The others wait in the queue of the operating system.
 *
 * <p>A handler of the listening channel. Thread-safe.
 */
@Sharable
final class AcceptGate extends ChannelInboundHandlerAdapter {
    private static final AttributeKey<AtomicBoolean> HANDLED = AttributeKey.valueOf(AcceptGate.class, "handled");

    /** No more is accepted from so many connections on that wait for their event loop. */
    private static final int MAX_WAITING = 16;

    private final AtomicInteger waiting = new AtomicInteger();

    AcceptGate() {}

    /** Puts the gate in front of the other handlers of a listening channel. Has no effect on a channel that has one. */
    void install(Channel listener) {
        listener.eventLoop().execute(() -> {
            if (listener.pipeline().get(AcceptGate.class) == null) {
                listener.pipeline().addFirst(this);
            }
        });
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof Channel child) {
            AtomicBoolean handled = new AtomicBoolean();
            child.attr(HANDLED).set(handled);
            // One that is closed before its event loop has seen it does not wait any more.
            child.closeFuture().addListener(closed -> leave(context.channel(), handled));
            if (waiting.incrementAndGet() >= MAX_WAITING) {
                context.channel().config().setAutoRead(false);
            }
        }
        context.fireChannelRead(message);
    }

    /** Notes that the event loop of a connection has applied the limits to it. */
    void handled(Channel child) {
        AtomicBoolean handled = child.attr(HANDLED).get();
        if (handled != null) {
            leave(child.parent(), handled);
        }
    }

    private void leave(Channel listener, AtomicBoolean handled) {
        if (handled.compareAndSet(false, true) && waiting.decrementAndGet() == 0) {
            listener.config().setAutoRead(true);
        }
    }
}
