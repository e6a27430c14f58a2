package org.nettlering.consensus.protocol;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;

/** What the leader knows of another member's log. Not thread-safe. */
final class ReplicaProgress {
    /** The member. */
    final MemberId id;

    /** How entries reach the member. */
    Mode mode = Mode.PROBE;

    /** The disk that answers; zero before the first answer of a member without a vote. */
    long diskId;

    /** The last entry that the member has acknowledged as durable. */
    long matchIndex;

    /** The next entry to send. */
    long nextIndex;

    /** The latest round of confirming leadership that the member answered. */
    long acknowledgedRound;

    /** When the member answered last, by the monotonic clock. */
    long lastContactNanos;

    /** How much of the snapshot the member has, in bytes. */
    long snapshotOffset;

    /** True once the member has answered this leader. */
    private boolean hasResponded;

    /** When a part of the snapshot was sent last, by the monotonic clock. */
    long lastPieceSentNanos;

    /** The last entry of each message that is not acknowledged, the earliest first. */
    private final ArrayDeque<Long> inFlightLastIndexes = new ArrayDeque<>();

    /** Disks that the member has lost. */
    private final Set<Long> replacedDisks = new HashSet<>();

    ReplicaProgress(Member member, long nextIndex, long nowNanos) {
        id = member.id();
        diskId = member.diskId();
        this.nextIndex = nextIndex;
        lastContactNanos = nowNanos;
    }

    /** How entries reach a member. */
    enum Mode {
        /** Its log is compared, without sending entries. */
        PROBE,
        /** Entries are sent without waiting for answers. */
        REPLICATE,
        /** It needs entries that only the snapshot holds. */
        SNAPSHOT
    }

    /** Notes an answer and tells whether it comes from a disk that the member still has. */
    boolean recordResponse(long respondingDisk, long nowNanos) {
        if (replacedDisks.contains(respondingDisk)) {
            return false;
        }
        if (respondingDisk != diskId) {
            if (diskId != 0) {
                replacedDisks.add(diskId);
            }
            diskId = respondingDisk;
            matchIndex = 0;
            acknowledgedRound = 0;
            probeFrom(nextIndex);
        }
        lastContactNanos = nowNanos;
        hasResponded = true;
        return true;
    }

    /** Tells whether the member has answered this leader, and not longer ago than a timeout. */
    boolean isReachable(long nowNanos, Duration timeout) {
        return hasResponded && nowNanos - lastContactNanos < timeout.toNanos();
    }

    /** Tells whether the answers of this member count for a voter of the membership. */
    boolean isOnDiskOfVoter(Member member) {
        return member.voting() && member.diskId() == diskId;
    }

    void probeFrom(long index) {
        mode = Mode.PROBE;
        nextIndex = Math.max(index, matchIndex + 1);
        inFlightLastIndexes.clear();
    }

    void recordSent(long index) {
        nextIndex = index + 1;
        inFlightLastIndexes.add(index);
    }

    int messagesInFlight() {
        return inFlightLastIndexes.size();
    }

    void recordAcknowledged(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlightLastIndexes.isEmpty() && inFlightLastIndexes.getFirst() <= matchIndex) {
            inFlightLastIndexes.removeFirst();
        }
    }
}
