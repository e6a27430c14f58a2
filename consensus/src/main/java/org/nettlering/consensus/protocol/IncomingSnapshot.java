package org.nettlering.consensus.protocol;

import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** A snapshot that is received in pieces. Not thread-safe. */
final class IncomingSnapshot {
    private final SnapshotHeader header;

    /** The encoded state; the first {@link #receivedBytes} bytes are filled. */
    private final byte[] bytes;

    private int receivedBytes;

    IncomingSnapshot(SnapshotHeader header) {
        if (header.sizeBytes() < 0 || header.sizeBytes() > Integer.MAX_VALUE - 8) {
            throw new NettleringException(
                    ErrorCode.TOO_LARGE, "a snapshot of " + header.sizeBytes() + " bytes is too large to install");
        }
        this.header = header;
        bytes = new byte[(int) header.sizeBytes()];
    }

    SnapshotHeader header() {
        return header;
    }

    /** Adds the next piece; ignores pieces at another offset or beyond the announced size. */
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

    /** Returns whether the checksum of the received state matches the header. */
    boolean isIntact() {
        return state().checksum() == header.checksum();
    }

    Payload state() {
        return Payload.of(bytes);
    }
}
