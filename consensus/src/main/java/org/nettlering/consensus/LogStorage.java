package org.nettlering.consensus;

import java.util.List;
import java.util.Optional;

/**
 * The port for a member's durable state.
 *
 * <p>Writes of the log ({@code saveVote}, {@code append}, {@code truncateFrom}, {@code installSnapshot},
 * {@code discardUpTo}, {@code sync}) come from one thread at a time. {@code saveSnapshot} and {@code loadSnapshot} may
 * come from another thread meanwhile. Every method throws {@code NettleringException} with {@code STORAGE_FAILED} when the
 * disk refuses; the storage must not be used after that.
 */
public interface LogStorage extends AutoCloseable {
    /**
     * Reads what is stored. Called once, first.
     *
     * @return the stored state, never null
     */
    StoredState load();

    /**
     * Returns the id of the disk, which was drawn when the data folder was created.
     *
     * @return the id, never zero
     */
    long diskId();

    /**
     * Writes the term and the vote; durable after {@link #sync()}.
     *
     * @param term the term
     * @param votedFor whom the member voted for in that term, not null
     */
    void saveVote(long term, Optional<MemberId> votedFor);

    /**
     * Writes entries after the last one; durable after {@link #sync()}.
     *
     * @param entries the entries, not null
     */
    void append(List<LogEntry> entries);

    /**
     * Removes entries at the end; durable after {@link #sync()}.
     *
     * @param index the first entry that goes
     */
    void truncateFrom(long index);

    /** Makes everything written so far durable. */
    void sync();

    /**
     * Replaces the snapshot by one from the leader. Durable on return.
     *
     * @param header what the snapshot stands for, not null
     * @param state the encoded state, not null
     * @param retainLog true if the entries after the snapshot stay, false if all entries go
     */
    void installSnapshot(SnapshotHeader header, Payload state, boolean retainLog);

    /**
     * Writes a snapshot of this member's own state. Durable on return. An older snapshot than the stored one is ignored.
     *
     * @param header what the snapshot stands for, not null
     * @param state the encoded state, not null
     */
    void saveSnapshot(SnapshotHeader header, Payload state);

    /**
     * Allows entries that a stored snapshot includes to be removed.
     *
     * @param index the last entry that may go
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
     * What was found on disk.
     *
     * @param term the term
     * @param votedFor whom the member voted for in that term, not null
     * @param snapshot the latest snapshot, not null
     * @param entries the entries after the snapshot, not null
     */
    record StoredState(
            long term, Optional<MemberId> votedFor, Optional<StoredSnapshot> snapshot, List<LogEntry> entries) {}

    /**
     * A snapshot that was read.
     *
     * @param header what it stands for, not null
     * @param state the encoded state, not null
     */
    record StoredSnapshot(SnapshotHeader header, Payload state) {}
}
