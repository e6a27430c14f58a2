package org.nettlering.consensus;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The times and limits of a member.
 *
 * <p>Every member of a group should have the same. Immutable and thread-safe.
 *
 * @param heartbeatInterval how often a leader contacts the other members, not null
 * @param electionTimeout how long a member waits for a leader before it stands; drawn between this and its double, not null
 * @param maxBatchBytes the most entries that one message carries, in bytes
 * @param maxMessagesInFlight how many messages with entries a member may have unanswered
 * @param maxUncommittedBytes the most entries that a leader takes before they are committed, in bytes
 * @param snapshotIntervalBytes how much the log grows between two snapshots, in bytes
 * @param trailingEntries how many entries stay in memory behind a snapshot, for members that lag
 * @param snapshotPieceBytes how much of a snapshot one message carries, in bytes
 */
public record ConsensusSettings(
        Duration heartbeatInterval,
        Duration electionTimeout,
        int maxBatchBytes,
        int maxMessagesInFlight,
        long maxUncommittedBytes,
        long snapshotIntervalBytes,
        int trailingEntries,
        int snapshotPieceBytes) {
    /** The settings of a site whose members are about one millisecond apart. */
    public static final ConsensusSettings DEFAULT = new ConsensusSettings(
            Duration.ofMillis(100), Duration.ofSeconds(1), 256 * 1024, 8, 16L << 20, 32L << 20, 4_096, 256 * 1024);

    /**
     * Creates settings.
     *
     * @throws NettleringException with {@code INVALID_SETTINGS} if the election timeout is less than three heartbeats or a
     *     limit is not positive
     */
    public ConsensusSettings {
        if (heartbeatInterval.isNegative() || heartbeatInterval.isZero()) {
            throw invalid("the heartbeat interval must be positive, not " + heartbeatInterval);
        }
        if (electionTimeout.compareTo(heartbeatInterval.multipliedBy(3)) < 0) {
            throw invalid("the election timeout must be at least three heartbeats, not " + electionTimeout);
        }
        long smallestLimit = Math.min(Math.min(maxBatchBytes, maxMessagesInFlight), snapshotPieceBytes);
        if (Math.min(smallestLimit, Math.min(maxUncommittedBytes, snapshotIntervalBytes)) < 1 || trailingEntries < 0) {
            throw invalid("the limits of the log must be positive");
        }
    }

    /**
     * Returns a copy with another heartbeat interval and election timeout.
     *
     * @param newHeartbeatInterval how often a leader contacts the other members, not null
     * @param newElectionTimeout how long a member waits for a leader, not null
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
                snapshotPieceBytes);
    }

    /**
     * Returns a copy with other limits for snapshots.
     *
     * @param intervalBytes how much the log grows between two snapshots, in bytes
     * @param trailing how many entries stay in memory behind a snapshot
     * @param pieceBytes how much of a snapshot one message carries, in bytes
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
                pieceBytes);
    }

    /**
     * Returns a copy with other limits for what is on its way.
     *
     * @param batchBytes the most entries that one message carries, in bytes
     * @param messagesInFlight how many messages with entries a member may have unanswered
     * @param uncommittedBytes the most entries that a leader takes before they are committed, in bytes
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
                snapshotPieceBytes);
    }

    private static NettleringException invalid(String message) {
        return new NettleringException(ErrorCode.INVALID_SETTINGS, message);
    }
}
