package org.nettlering.consensus.simulation;

import java.nio.ByteBuffer;

/**
 * A compare-and-set command to a {@link Register}.
 *
 * @param id the id of the command, unique in a run; the new value of the register
 * @param expectedRevision the revision that the register must have for the command to change it
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
