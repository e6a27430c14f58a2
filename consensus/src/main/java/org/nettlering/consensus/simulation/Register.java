package org.nettlering.consensus.simulation;

import java.nio.ByteBuffer;

/**
 * The naive model: one copy of a register with a revision.
 *
 * @param revision how often it was set
 * @param value the id of the command that set it last
 */
record Register(long revision, long value) {
    /** The register before the first command. */
    static final Register INITIAL = new Register(0, 0);

    Register apply(RegisterCommand command) {
        return command.expectedRevision() == revision ? new Register(revision + 1, command.id()) : this;
    }

    byte[] encode() {
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(revision)
                .putLong(value)
                .array();
    }

    static Register decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new Register(buffer.getLong(), buffer.getLong());
    }
}
