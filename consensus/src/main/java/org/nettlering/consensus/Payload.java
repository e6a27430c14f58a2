package org.nettlering.consensus;

import java.util.Arrays;
import java.util.zip.CRC32C;

/**
 * An immutable sequence of bytes.
 *
 * <p>Arrays are not copied, so nobody may change an array after handing it over. Thread-safe under that rule.
 */
public final class Payload {
    /** No bytes at all. */
    public static final Payload EMPTY = new Payload(new byte[0], 0, 0);

    /** Holds the bytes, maybe among others. */
    private final byte[] array;

    /** Where the bytes begin in the array. */
    private final int offset;

    /** How many bytes there are. */
    private final int length;

    /**
     * Wraps an array without copying it.
     *
     * @param bytes the bytes, not changed afterwards, not null
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
     * @return an array that must not be changed, never null
     */
    public byte[] bytes() {
        boolean whole = offset == 0 && length == array.length;
        return whole ? array : Arrays.copyOfRange(array, offset, offset + length);
    }

    /**
     * Returns a part of the bytes without copying them.
     *
     * @param from the first byte, from zero
     * @param size the number of bytes
     * @return the part, never null
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
