package org.nettlering.consensus.storage;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.Payload;

/**
 * The unit of durability of the log: the operations of one sync, with a sequence number and a checksum.
 *
 * <p>A frame is written only after the previous frame is durable. Therefore an invalid frame at the end of the log is a torn
 * write, and an invalid frame that is followed by a valid one is corruption.
 *
 * @param sequence the sequence number, one more than that of the previous frame
 * @param operations the operations in the order in which they apply, not null
 */
record LogFrame(long sequence, List<LogOperation> operations) {
    /** The first 4 bytes of every frame: "FRAM" in ASCII. */
    private static final int MAGIC = 0x4652414D;

    /** The total size of the magic number, body size, sequence number and checksum. */
    static final int HEADER_BYTES = 4 + 4 + 8 + 4;

    byte[] encode() {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try (DataOutputStream output = new DataOutputStream(body)) {
            for (LogOperation operation : operations) {
                operation.encode(output);
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + body.size());
        frame.putInt(MAGIC).putInt(body.size()).putLong(sequence);
        frame.putInt(0).put(body.toByteArray());
        frame.putInt(HEADER_BYTES - Integer.BYTES, checksum(frame.array(), 0, body.size()));
        return frame.array();
    }

    /** Returns the checksum of the header, without its checksum field, and the body. */
    private static int checksum(byte[] file, int offset, int bodySize) {
        java.util.zip.CRC32C checksum = new java.util.zip.CRC32C();
        checksum.update(file, offset, HEADER_BYTES - Integer.BYTES);
        checksum.update(file, offset + HEADER_BYTES, bodySize);
        return (int) checksum.getValue();
    }

    /** Returns the size of the frame at an offset, or zero if there is no valid frame. */
    static int validFrameSize(byte[] file, int offset) {
        if (file.length - offset < HEADER_BYTES) {
            return 0;
        }
        ByteBuffer buffer = ByteBuffer.wrap(file);
        int bodySize = buffer.getInt(offset + Integer.BYTES);
        if (buffer.getInt(offset) != MAGIC || bodySize < 0 || bodySize > file.length - offset - HEADER_BYTES) {
            return 0;
        }
        boolean valid = buffer.getInt(offset + HEADER_BYTES - Integer.BYTES) == checksum(file, offset, bodySize);
        return valid ? HEADER_BYTES + bodySize : 0;
    }

    /** Decodes a frame that {@link #validFrameSize(byte[], int)} found valid. */
    static LogFrame decode(byte[] file, int offset, int size) {
        long sequence = ByteBuffer.wrap(file).getLong(offset + 2 * Integer.BYTES);
        Payload body = Payload.of(file).slice(offset + HEADER_BYTES, size - HEADER_BYTES);
        List<LogOperation> operations = new ArrayList<>();
        try (DataInputStream input = new DataInputStream(new ByteArrayInputStream(body.bytes()))) {
            while (input.available() > 0) {
                operations.add(LogOperation.decode(input));
            }
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return new LogFrame(sequence, operations);
    }

    /** Returns the offset of the first valid frame at or after an offset, or null if there is none. */
    static @Nullable Integer findValidFrame(byte[] file, int offset) {
        for (int candidate = offset; candidate <= file.length - HEADER_BYTES; candidate++) {
            if (file[candidate] == (byte) (MAGIC >>> 24) && validFrameSize(file, candidate) > 0) {
                return candidate;
            }
        }
        return null;
    }
}
