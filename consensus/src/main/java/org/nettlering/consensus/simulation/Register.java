package org.nettlering.consensus.simulation;

import java.nio.ByteBuffer;

/**
 * A compare-and-set register, which is both the replicated state and its sequential model. Immutable.
 *
 * @param revision the number of commands that changed the value
 * @param value the id of the command that set the value, zero initially
 */
record Register(long revision, long value) {
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
