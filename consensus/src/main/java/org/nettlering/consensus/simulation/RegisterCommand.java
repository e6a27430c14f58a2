package org.nettlering.consensus.simulation;

import java.nio.ByteBuffer;

/**
 * A compare-and-set of a register.
 *
 * @param id the number of the command, unique in a run
 * @param expectedRevision the revision that the register must have
 */
record RegisterCommand(long id, long expectedRevision) {
    byte[] encode() {
        return ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(id)
                .putLong(expectedRevision)
                .array();
    }

    static RegisterCommand decode(byte[] bytes) {
        ByteBuffer buffer = ByteBuffer.wrap(bytes);
        return new RegisterCommand(buffer.getLong(), buffer.getLong());
    }
}
