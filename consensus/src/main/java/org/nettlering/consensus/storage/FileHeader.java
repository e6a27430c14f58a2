package org.nettlering.consensus.storage;

import java.nio.ByteBuffer;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** The first bytes of every file: what kind of file it is and in which version of the format. */
final class FileHeader {
    /** The version that this program writes, and the newest that it reads. */
    static final int FORMAT_VERSION = 1;

    /** The size of the header. */
    static final int SIZE_BYTES = 16;

    /** Begins every file: "NETTLERG" in ASCII. */
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

    /** Checks the header of a file and throws if the file cannot be read. */
    static void check(String name, byte[] file) {
        if (file.length < SIZE_BYTES) {
            throw new NettleringException(ErrorCode.STORAGE_CORRUPT, "file " + name + " is cut short in its header");
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
                    "file " + name + " has format " + version + ", this program reads up to format " + FORMAT_VERSION);
        }
    }
}
