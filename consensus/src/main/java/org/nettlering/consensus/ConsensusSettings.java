package org.nettlering.consensus;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The timeouts and limits of a member.
 *
 * <p>All members of a group should have the same settings. Immutable and thread-safe.
 *
 * @param heartbeatInterval the time between two heartbeats of a leader, not null
 * @param electionTimeout the minimum election timeout; the actual one is random between this and twice as much, not null
 * @param maxBatchBytes the maximum size of the entries in one message, in bytes
 * @param maxMessagesInFlight the maximum number of unacknowledged messages with entries per member
 * @param maxUncommittedBytes the size of uncommitted entries from which a leader rejects proposals, in bytes
 * @param snapshotIntervalBytes the size of the entries applied between two snapshots, in bytes
 * @param trailingEntries the number of entries before a snapshot that stay in memory at most, for members that lag behind
 * @param trailingBytes the size of these entries at most, in bytes
 * @param snapshotPieceBytes the maximum size of a snapshot piece in one message, in bytes
 */
public record ConsensusSettings(
        Duration heartbeatInterval,
        Duration electionTimeout,
        int maxBatchBytes,
        int maxMessagesInFlight,
        long maxUncommittedBytes,
        long snapshotIntervalBytes,
        int trailingEntries,
        long trailingBytes,
        int snapshotPieceBytes) {
    /** Settings for a site whose members are about one millisecond apart. */
    public static final ConsensusSettings DEFAULT = new ConsensusSettings(
            Duration.ofMillis(100),
            Duration.ofSeconds(1),
            256 * 1024,
            8,
            16L << 20,
            32L << 20,
            4_096,
            16L << 20,
            256 * 1024);

    /**
     * Creates settings.
     *
     * @throws NettleringException with {@code INVALID_SETTINGS} if the election timeout is less than three heartbeat
     *     intervals or a limit is not positive
     */
    public ConsensusSettings {
        if (heartbeatInterval.isNegative() || heartbeatInterval.isZero()) {
            throw invalid("the heartbeat interval must be positive, not " + heartbeatInterval);
        }
        if (electionTimeout.compareTo(heartbeatInterval.multipliedBy(3)) < 0) {
            throw invalid("the election timeout must be at least three heartbeat intervals, not " + electionTimeout);
        }
        long smallestLimit = Math.min(Math.min(maxBatchBytes, maxMessagesInFlight), snapshotPieceBytes);
        if (Math.min(smallestLimit, Math.min(maxUncommittedBytes, snapshotIntervalBytes)) < 1
                || Math.min(trailingEntries, trailingBytes) < 0) {
            throw invalid("the size and message limits must be positive, and the trailing entries not negative");
        }
    }

    /**
     * Returns a copy with another heartbeat interval and election timeout.
     *
     * @param newHeartbeatInterval the time between two heartbeats of a leader, not null
     * @param newElectionTimeout the minimum election timeout, not null
     * @return the changed settings, never null
     */
    public ConsensusSettings withTimeouts(Duration newHeartbeatInterval, Duration newElectionTimeout) {
        return new ConsensusSettings(
                newHeartbeatInterval,
                newElectionTimeout,
                maxBatchBytes,
                maxMessagesInFlight,
                maxUncommittedBytes,
                snapshotIntervalBytes,
                trailingEntries,
                trailingBytes,
                snapshotPieceBytes);
    }

    /**
     * Returns a copy with other limits for snapshots.
     *
     * @param intervalBytes the size of the entries applied between two snapshots, in bytes
     * @param trailing the number of entries before a snapshot that stay in memory at most
     * @param pieceBytes the maximum size of a snapshot piece in one message, in bytes
     * @return the changed settings, never null
     */
    public ConsensusSettings withSnapshotLimits(long intervalBytes, int trailing, int pieceBytes) {
        return new ConsensusSettings(
                heartbeatInterval,
                electionTimeout,
                maxBatchBytes,
                maxMessagesInFlight,
                maxUncommittedBytes,
                intervalBytes,
                trailing,
                trailingBytes,
                pieceBytes);
    }

    /**
     * Returns a copy with another size of the entries before a snapshot that stay in memory.
     *
     * @param bytes the size of these entries at most, in bytes
     * @return the changed settings, never null
     */
    public ConsensusSettings withTrailingBytes(long bytes) {
        return new ConsensusSettings(
                heartbeatInterval,
                electionTimeout,
                maxBatchBytes,
                maxMessagesInFlight,
                maxUncommittedBytes,
                snapshotIntervalBytes,
                trailingEntries,
                bytes,
                snapshotPieceBytes);
    }

    /**
     * Returns a copy with other limits for batches, messages in flight and uncommitted entries.
     *
     * @param batchBytes the maximum size of the entries in one message, in bytes
     * @param messagesInFlight the maximum number of unacknowledged messages with entries per member
     * @param uncommittedBytes the size of uncommitted entries from which a leader rejects proposals, in bytes
     * @return the changed settings, never null
     */
    public ConsensusSettings withReplicationLimits(int batchBytes, int messagesInFlight, long uncommittedBytes) {
        return new ConsensusSettings(
                heartbeatInterval,
                electionTimeout,
                batchBytes,
                messagesInFlight,
                uncommittedBytes,
                snapshotIntervalBytes,
                trailingEntries,
                trailingBytes,
                snapshotPieceBytes);
    }

    private static NettleringException invalid(String message) {
        return new NettleringException(ErrorCode.INVALID_SETTINGS, message);
    }
}
