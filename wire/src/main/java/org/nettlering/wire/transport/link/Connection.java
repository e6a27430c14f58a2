package org.nettlering.wire.transport.link;

import java.util.function.BooleanSupplier;
import org.nettlering.wire.proto.FrameProto.Frame;

/** An open connection to a peer, as {@link PeerLink} sees it. Implementations are thread-safe and do not block. */
public interface Connection {
    /**
     * Writes a frame.
     *
     * <p>Asks {@code begin} just before the first byte is handed over, on a connection that is then open; writes nothing
     * if that answers false or is never asked.
     *
     * @param frame the frame, not null
     * @param begin decides whether the frame is still wanted, not null
     */
    void write(Frame frame, BooleanSupplier begin);

    /**
     * Tells whether more may be queued.
     *
     * @return false when the outbound queue is full
     */
    boolean isWritable();

    /** Closes the connection; the listener hears of it. */
    void close();
}
