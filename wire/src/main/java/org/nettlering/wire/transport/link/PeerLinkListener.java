package org.nettlering.wire.transport.link;

import java.time.Duration;

/** Hears what a {@link PeerLink} does, for logs and metrics. Implementations are thread-safe and do not block. */
public interface PeerLinkListener {
    /** The handshake is done. */
    void connected();

    /**
     * An open connection ended.
     *
     * @param reason why, not null
     */
    void disconnected(String reason);

    /**
     * A connection could not be made.
     *
     * @param reason why, not null
     */
    void unreachable(String reason);

    /**
     * The peer refused this process, or is another process than expected.
     *
     * @param reason why, not null
     */
    void refused(String reason);

    /**
     * A connection was quiet for too long and is given up.
     *
     * @param quiet for how long, not null
     */
    void silent(Duration quiet);

    /** A message was dropped because the connection was not ready or its queue was full. */
    void messageDropped();

    /** A response arrived that nobody waits for any more. */
    void lateResponse();
}
