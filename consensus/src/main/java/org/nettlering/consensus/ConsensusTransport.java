package org.nettlering.consensus;

/** The port through which a member sends messages to other members. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface ConsensusTransport {
    /**
     * Sends a message; it may be lost, delayed or duplicated. It is lost if this method throws.
     *
     * @param to the receiver, not null
     * @param message the message, not null
     */
    void send(MemberId to, ConsensusMessage message);
}
