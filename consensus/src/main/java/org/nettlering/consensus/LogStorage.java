package org.nettlering.consensus;

import java.util.List;
import java.util.Optional;

/**
 * The port for a member's durable state.
 *
 * <p>The methods that write the log ({@code saveVote}, {@code append}, {@code truncateFrom}, {@code installSnapshot},
 * {@code discardUpTo}, {@code sync}) are called by one thread at a time. {@code saveSnapshot} and {@code loadSnapshot} may
 * be called by another thread at the same time.
 *
 * <p>Every method throws {@code NettleringException} with {@code STORAGE_FAILED} if an I/O operation fails; the storage must
 * not be used after that. {@code sync}, {@code installSnapshot} and {@code saveSnapshot} throw it with {@code STORAGE_FULL} if
 * the disk refused a write and nothing of it was stored; the same call may then be repeated until it succeeds.
 */
public interface LogStorage extends AutoCloseable {
    /**
     * Loads the durable state. Called once, before any other method.
     *
     * @return the stored state, never null
     */
    StoredState load();

    /**
     * Returns the id of the disk, which was generated at random when the data folder was created.
     *
     * @return the id, never zero
     */
    long diskId();

    /**
     * Writes the term and the vote; durable after {@link #sync()}.
     *
     * @param term the current term
     * @param votedFor the candidate that the member voted for in that term, or empty, not null
     */
    void saveVote(long term, Optional<MemberId> votedFor);

    /**
     * Writes entries after the last one; durable after {@link #sync()}.
     *
     * @param entries the entries, not null
     */
    void append(List<LogEntry> entries);

    /**
     * Removes the last entries; durable after {@link #sync()}.
     *
     * @param index the index of the first entry to remove
     */
    void truncateFrom(long index);

    /** Makes everything written so far durable. */
    void sync();

    /**
     * Replaces the snapshot by one received from the leader. Durable on return.
     *
     * @param header the header of the snapshot, not null
     * @param state the encoded state, not null
     * @param retainLog true to keep the entries after the snapshot, false to remove all entries
     */
    void installSnapshot(SnapshotHeader header, Payload state, boolean retainLog);

    /**
     * Writes a snapshot of this member's own state. Durable on return. Ignored if it is older than the stored one.
     *
     * @param header the header of the snapshot, not null
     * @param state the encoded state, not null
     */
    void saveSnapshot(SnapshotHeader header, Payload state);

    /**
     * Allows the storage to remove entries that a stored snapshot includes.
     *
     * @param index the index of the last entry that may be removed
     */
    void discardUpTo(long index);

    /**
     * Reads the stored snapshot.
     *
     * @return the snapshot, or empty if there is none, never null
     */
    Optional<StoredSnapshot> loadSnapshot();

    @Override
    void close();

    /**
     * The durable state at startup.
     *
     * @param term the current term
     * @param votedFor the candidate that the member voted for in that term, or empty, not null
     * @param snapshot the stored snapshot, or empty, not null
     * @param entries the entries after the snapshot, in log order, not null
     */
    record StoredState(
            long term, Optional<MemberId> votedFor, Optional<StoredSnapshot> snapshot, List<LogEntry> entries) {}

    /**
     * A snapshot in memory.
     *
     * @param header the header of the snapshot, not null
     * @param state the encoded state, not null
     */
    record StoredSnapshot(SnapshotHeader header, Payload state) {}
}
