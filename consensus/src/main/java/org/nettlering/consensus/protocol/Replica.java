package org.nettlering.consensus.protocol;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;

/** What the leader knows of another member's log. Not thread-safe. */
final class Replica {
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
    long answeredRound;

    /** When the member answered last, by the monotonic clock. */
    long lastHeardNanos;

    /** How much of the snapshot the member has, in bytes. */
    long snapshotOffset;

    /** True once the member has answered this leader. */
    private boolean answered;

    /** When a part of the snapshot was sent last, by the monotonic clock. */
    long pieceSentNanos;

    /** The last entry of each message that is not acknowledged, the earliest first. */
    private final ArrayDeque<Long> inFlight = new ArrayDeque<>();

    /** Disks that the member has lost. */
    private final Set<Long> lostDisks = new HashSet<>();

    Replica(Member member, long nextIndex, long nowNanos) {
        id = member.id();
        diskId = member.diskId();
        this.nextIndex = nextIndex;
        lastHeardNanos = nowNanos;
    }

    /** How entries reach a member. */
    enum Mode {
        /** Its log is compared, without sending entries. */
        PROBE,
        /** Entries are sent without waiting for answers. */
        STREAM,
        /** It needs entries that only the snapshot holds. */
        SNAPSHOT
    }

    /** Notes an answer and tells whether it comes from a disk that the member still has. */
    boolean heard(long answeringDisk, long nowNanos) {
        if (lostDisks.contains(answeringDisk)) {
            return false;
        }
        if (answeringDisk != diskId) {
            if (diskId != 0) {
                lostDisks.add(diskId);
            }
            diskId = answeringDisk;
            matchIndex = 0;
            answeredRound = 0;
            probeFrom(nextIndex);
        }
        lastHeardNanos = nowNanos;
        answered = true;
        return true;
    }

    /** Tells whether the member has answered this leader, and not longer ago than a timeout. */
    boolean isLive(long nowNanos, Duration timeout) {
        return answered && nowNanos - lastHeardNanos < timeout.toNanos();
    }

    /** Tells whether the answers of this member count for a voter of the membership. */
    boolean countsFor(Member member) {
        return member.voting() && member.diskId() == diskId;
    }

    void probeFrom(long index) {
        mode = Mode.PROBE;
        nextIndex = Math.max(index, matchIndex + 1);
        inFlight.clear();
    }

    void sentUpTo(long index) {
        nextIndex = index + 1;
        inFlight.add(index);
    }

    int messagesInFlight() {
        return inFlight.size();
    }

    void acknowledged(long index) {
        matchIndex = Math.max(matchIndex, index);
        nextIndex = Math.max(nextIndex, matchIndex + 1);
        while (!inFlight.isEmpty() && inFlight.getFirst() <= matchIndex) {
            inFlight.removeFirst();
        }
    }
}
