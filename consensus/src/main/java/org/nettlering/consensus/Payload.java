package org.nettlering.consensus;

import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * An immutable sequence of bytes.
 *
 * <p>Arrays are not copied. Thread-safe as long as no array is modified after it was passed to {@link #of}.
 */
public final class Payload {
    /** The payload without bytes. */
    public static final Payload EMPTY = new Payload(new byte[0], 0, 0);

    /** The backing array, which may hold other bytes as well. */
    private final byte[] array;

    /** Index of the first byte in the array. */
    private final int offset;

    private final int length;

    /**
     * Wraps an array without copying it.
     *
     * @param bytes the bytes, which must not be modified afterwards, not null
     * @return the payload, never null
     */
    public static Payload of(byte[] bytes) {
        return new Payload(bytes, 0, bytes.length);
    }

    private Payload(byte[] array, int offset, int length) {
        this.array = array;
        this.offset = offset;
        this.length = length;
    }

    /**
     * Returns the number of bytes.
     *
     * @return the length in bytes
     */
    public int length() {
        return length;
    }

    /**
     * Returns the bytes.
     *
     * @return an array that must not be modified, never null
     */
    public byte[] bytes() {
        boolean whole = offset == 0 && length == array.length;
        return whole ? array : Arrays.copyOfRange(array, offset, offset + length);
    }

    /**
     * Returns a range of the bytes without copying them.
     *
     * @param from the offset of the first byte, from zero
     * @param size the number of bytes
     * @return the range, never null
     * @throws IndexOutOfBoundsException if the range exceeds the payload
     */
    public Payload slice(int from, int size) {
        if (from < 0 || size < 0 || from + size > length) {
            throw new IndexOutOfBoundsException("slice " + from + "+" + size + " of " + length + " bytes");
        }
        return new Payload(array, offset + from, size);
    }

    /**
     * Returns the CRC-32C of the bytes.
     *
     * @return the checksum, from 0 to 2^32 - 1
     */
    public long checksum() {
        CRC32C checksum = new CRC32C();
        checksum.update(array, offset, length);
        return checksum.getValue();
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Payload that
                && Arrays.equals(array, offset, offset + length, that.array, that.offset, that.offset + that.length);
    }

    @Override
    public int hashCode() {
        return (int) checksum();
    }

    @Override
    public String toString() {
        return length + " bytes";
    }
}
