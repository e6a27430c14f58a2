package org.nettlering.consensus;

/**
 * What a snapshot stands for.
 *
 * <p>Immutable and thread-safe.
 *
 * @param index the last entry that the state includes
 * @param term the term of that entry
 * @param membership the membership in force at that entry, not null
 * @param sizeBytes the size of the encoded state
 * @param checksum the CRC-32C of the encoded state
 */
public record SnapshotHeader(long index, long term, Membership membership, long sizeBytes, long checksum) {
    /** Stands for the empty state before the first entry. */
    public static final SnapshotHeader NONE = new SnapshotHeader(0L, 0L, Membership.EMPTY, 0L, 0L);
}
