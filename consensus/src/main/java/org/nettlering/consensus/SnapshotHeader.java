package org.nettlering.consensus;

/**
 * The metadata of a snapshot.
 *
 * <p>Immutable and thread-safe.
 *
 * @param index the index of the last entry that the state includes
 * @param term the term of that entry
 * @param membership the membership in effect at that entry, not null
 * @param sizeBytes the size of the encoded state, in bytes
 * @param checksum the CRC-32C of the encoded state
 */
public record SnapshotHeader(long index, long term, Membership membership, long sizeBytes, long checksum) {
    /** The header of the empty state before the first entry. */
    public static final SnapshotHeader NONE = new SnapshotHeader(0L, 0L, Membership.EMPTY, 0L, 0L);
}
