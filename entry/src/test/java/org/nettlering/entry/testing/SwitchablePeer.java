package org.nettlering.entry.testing;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.FrameHandler;
import org.nettlering.wire.transport.Peer;

/** An in-memory connection to another entry that can stop responding. */
public final class SwitchablePeer implements Peer {
    private final TimeSource time;

    /** The handler of the other entry, null until {@link #connect}. */
    private volatile @Nullable FrameHandler handler;

    /** True while all calls time out. */
    private volatile boolean unresponsive;

    public SwitchablePeer(TimeSource time) {
        this.time = time;
    }

    public void connect(FrameHandler connected) {
        handler = connected;
    }

    public void setUnresponsive(boolean isUnresponsive) {
        unresponsive = isUnresponsive;
    }

    @Override
    public CompletionStage<Frame> call(Frame request, Duration timeout) {
        FrameHandler connected = handler;
        if (unresponsive || connected == null) {
            CompletableFuture<Frame> future = new CompletableFuture<>();
            time.schedule(
                    timeout,
                    () -> future.completeExceptionally(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "silent")));
            return future;
        }
        return connected.handleRequest(request);
    }

    @Override
    public void send(Frame message) {
        throw new UnsupportedOperationException();
    }
}
