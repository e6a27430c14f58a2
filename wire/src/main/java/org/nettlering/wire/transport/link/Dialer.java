package org.nettlering.wire.transport.link;

/** Opens connections to one peer. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface Dialer {
    /**
     * Starts to open a connection.
     *
     * @param listener hears of its success or failure, and of what arrives, not null
     */
    void dial(ConnectionListener listener);
}
