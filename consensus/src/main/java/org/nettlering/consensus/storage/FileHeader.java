package org.nettlering.consensus.storage;

import java.nio.ByteBuffer;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** The header of every file: magic number, format version and checksum. */
final class FileHeader {
    /** The version that this program writes and the newest that it can read. */
    static final int FORMAT_VERSION = 1;

    static final int SIZE_BYTES = 16;

    /** The first 8 bytes of every file: "NETTLERG" in ASCII. */
    private static final long MAGIC = 0x4E4554544C455247L;

    private FileHeader() {}

    static byte[] encode() {
        return encode(FORMAT_VERSION);
    }

    static byte[] encode(int version) {
        ByteBuffer buffer = ByteBuffer.allocate(SIZE_BYTES).putLong(MAGIC).putInt(version);
        return buffer.putInt(checksum(buffer.array())).array();
    }

    private static int checksum(byte[] header) {
        return (int) Payload.of(header).slice(0, SIZE_BYTES - Integer.BYTES).checksum();
    }

    /**
     * Validates the header of a file.
     *
     * @throws NettleringException with {@code STORAGE_CORRUPT} if the header is truncated or invalid, with
     *     {@code STORAGE_TOO_NEW} if a newer version of the program wrote the file
     */
    static void check(String name, byte[] file) {
        if (file.length < SIZE_BYTES) {
            throw new NettleringException(
                    ErrorCode.STORAGE_CORRUPT, "file " + name + " is truncated within its header");
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        long magic = buffer.getLong();
        int version = buffer.getInt();
        if (magic != MAGIC || buffer.getInt() != checksum(file)) {
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "file " + name + " has a corrupt header");
        }
        if (version > FORMAT_VERSION) {
            throw new NettleringException(
                    ErrorCode.STORAGE_TOO_NEW,
                    "file " + name + " has format version " + version + ", but this program reads versions up to "
                            + FORMAT_VERSION);
        }
    }
}
