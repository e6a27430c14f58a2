package org.nettlering.wire.transport.netty;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.BooleanSupplier;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.link.Connection;

/** One TCP connection; counts the bytes that wait to be written, also those still on their way to the event loop. */
public final class NettyConnection implements Connection {
    /** The channel. */
    private final Channel channel;

    /** The bytes that may wait. */
    private final long maxQueuedBytes;

    /** Called on the event loop when the queue has fallen to half of its bound. */
    private final Runnable drained;

    /** The bytes that wait. */
    private final AtomicLong queuedBytes = new AtomicLong();

    NettyConnection(Channel channel, long maxQueuedBytes, Runnable drained) {
        this.channel = channel;
        this.maxQueuedBytes = maxQueuedBytes;
        this.drained = drained;
    }

    @Override
    public void write(Frame frame, BooleanSupplier begin) {
        int size = frame.getSerializedSize();
        queuedBytes.addAndGet(size);
        if (channel.eventLoop().isShuttingDown()) {
            release(size);
            return;
        }
        channel.eventLoop().execute(() -> writeNow(frame, size, begin));
    }

    @Override
    public boolean isWritable() {
        return queuedBytes.get() < maxQueuedBytes;
    }

    @Override
    public void close() {
        var _ = channel.close();
    }

    /**
     * Returns the bytes that wait to be written.
     *
     * @return the bytes of the frames that were handed over and not yet written
     */
    public long queuedBytes() {
        return queuedBytes.get();
    }

    private void writeNow(Frame frame, int size, BooleanSupplier begin) {
        if (!channel.isActive() || !begin.getAsBoolean()) {
            release(size);
            return;
        }
        channel.writeAndFlush(frame).addListener(future -> release(size));
    }

    private void release(int size) {
        long left = queuedBytes.addAndGet(-size);
        long half = maxQueuedBytes / 2;
        if (left <= half && left + size > half) {
            drained.run();
        }
    }
}
