package org.nettlering.consensus.protocol;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.HashSet;
import java.util.Set;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;

/** The leader's view of the log of another member. Not thread-safe. */
final class ReplicaProgress {
    final MemberId id;

    Mode mode = Mode.PROBE;

    /** The disk that the member responds from; zero for a learner that has not responded yet. */
    long diskId;

    /** Index of the last entry that the member has acknowledged as durable. */
    long matchIndex;

    long nextIndex;

    /** The latest read round that the member acknowledged. */
    long acknowledgedRound;

    /**
     * Time of the last response, by the monotonic clock; at first the time at which this leader started tracking the
     * member.
     */
    long lastContactNanos;

    /** Number of snapshot bytes that the member has received. */
    long snapshotOffset;

    /** Whether the member has responded to this leader. */
    private boolean hasResponded;

    /** Time at which the last snapshot piece was sent, by the monotonic clock. */
    long lastPieceSentNanos;

    /** Index of the last entry of each unacknowledged message, in sending order. */
    private final ArrayDeque<Long> inFlightLastIndexes = new ArrayDeque<>();

    /** Disks that the member no longer uses; delayed responses from them are ignored. */
    private final Set<Long> replacedDisks = new HashSet<>();

    ReplicaProgress(Member member, long nextIndex, long nowNanos) {
        id = member.id();
        diskId = member.diskId();
        this.nextIndex = nextIndex;
        lastContactNanos = nowNanos;
    }

    /** How the leader replicates to a member. */
    enum Mode {
        /** Sends no entries, only probes for the last matching one. */
        PROBE,
        /** Sends entries without waiting for responses to earlier ones. */
        REPLICATE,
        /** Sends the snapshot because the next entry is no longer in the log. */
        SNAPSHOT
    }

    /** Records a response; returns false if it comes from a disk that was replaced and must be ignored. */
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

    /** Returns whether the member has responded to this leader within the timeout. */
    boolean isReachable(long nowNanos, Duration timeout) {
        return hasResponded && nowNanos - lastContactNanos < timeout.toNanos();
    }

    /** Returns whether the listed member is a voter on the disk that responds; only then do its acknowledgements count. */
    boolean isOnDiskOfVoter(Member member) {
        return member.voting() && member.diskId() == diskId;
    }

    /** Switches to probing, from the given index or after the last acknowledged one if that is later. */
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
