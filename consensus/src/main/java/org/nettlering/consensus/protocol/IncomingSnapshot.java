package org.nettlering.consensus.protocol;

import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** A snapshot that arrives in parts. Not thread-safe. */
final class IncomingSnapshot {
    /** What the snapshot stands for. */
    private final SnapshotHeader header;

    /** The encoded state, filled from the beginning. */
    private final byte[] bytes;

    /** How much of it has arrived. */
    private int receivedBytes;

    IncomingSnapshot(SnapshotHeader header) {
        if (header.sizeBytes() < 0 || header.sizeBytes() > Integer.MAX_VALUE - 8) {
            throw new NettleringException(
                    ErrorCode.TOO_LARGE, "a snapshot of " + header.sizeBytes() + " bytes cannot be taken over");
        }
        this.header = header;
        bytes = new byte[(int) header.sizeBytes()];
    }

    SnapshotHeader header() {
        return header;
    }

    /** Adds a part if it is the next one; other parts are ignored. */
    void add(long offset, Payload data) {
        if (offset != receivedBytes || data.length() > bytes.length - receivedBytes) {
            return;
        }
        System.arraycopy(data.bytes(), 0, bytes, receivedBytes, data.length());
        receivedBytes += data.length();
    }

    long receivedBytes() {
        return receivedBytes;
    }

    boolean isComplete() {
        return receivedBytes == bytes.length;
    }

    boolean isIntact() {
        return state().checksum() == header.checksum();
    }

    Payload state() {
        return Payload.of(bytes);
    }
}
