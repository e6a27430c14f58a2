package org.nettlering.domain.workflow.host;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostIncarnation;

/**
 * Tells the incarnations of a host apart that starts again under its id.
 *
 * <p>Only responses decide which incarnation is the current one, by the order in which the commands were sent: heartbeats may
 * arrive late, and the times of starts are read from clocks that may jump. Until the first response, none is identified: what
 * heartbeats, or runs of earlier leaders, tell of a start may be of one that has ended. A heartbeat of another incarnation is kept
 * until a response confirms it. Not thread-safe.
 */
final class IncarnationTracker {
    /** Which incarnation sent a response. */
    enum Sender {
        /** The current one. */
        CURRENT,
        /** The current one, whose start no response had told before: what was heard of the host before may be of another one. */
        IDENTIFIED,
        /** One that started after the current one, which has terminated. */
        LATER,
        /** One that had terminated before the current one started. */
        EARLIER
    }

    /** Responses of more ended incarnations than these are not under way at once. */
    private static final int MAX_ENDED = 4;

    /** When the current incarnation started, in milliseconds since 1970. */
    private long startMillis = HostIncarnation.UNKNOWN_START;

    /** Whether a response was received, so that the start is not merely assumed. */
    private boolean identified;

    /**
     * When the latest command was sent by whose response the current incarnation was identified, or when tracking began, by the
     * monotonic clock.
     */
    private long latestCommandNanos;

    /** When it was learned that the current incarnation had started, or when tracking began, by the monotonic clock. */
    private long identifiedNanos;

    /** The starts of the latest incarnations that have ended, the earliest first. */
    private final Deque<Long> endedStartMillis = new ArrayDeque<>();

    /** The latest heartbeat of an incarnation that is not known to be the current one, or null. */
    private @Nullable HostHeartbeat unconfirmedHeartbeat;

    /**
     * Creates a tracker that knows no incarnation.
     *
     * @param nowNanos the monotonic time
     */
    IncarnationTracker(long nowNanos) {
        latestCommandNanos = nowNanos;
        identifiedNanos = nowNanos;
    }

    /** Takes a start that an earlier leader knew for that of the current incarnation, if none is known. */
    void assumeStart(long knownStartMillis) {
        startMillis = startMillis == HostIncarnation.UNKNOWN_START ? knownStartMillis : startMillis;
    }

    /** Returns when the current incarnation started, in milliseconds since 1970. */
    long startMillis() {
        return startMillis;
    }

    /** Returns whether a response has shown which incarnation is the current one. */
    boolean isIdentified() {
        return identified;
    }

    /** Returns whether a time of a start is known to be that of the current incarnation, or none is ever told by the host. */
    boolean isCurrent(long otherStartMillis) {
        return identified && startMillis == otherStartMillis;
    }

    /** Returns whether a time of a start is not that of the current incarnation. */
    boolean isOther(long otherStartMillis) {
        return HostIncarnation.isOtherStart(startMillis, otherStartMillis);
    }

    /** Returns whether a time of a start is that of an incarnation that has ended. */
    boolean hasEnded(long otherStartMillis) {
        return endedStartMillis.contains(otherStartMillis);
    }

    /** Records that an incarnation had ended before the current one sent a response. */
    void recordEnded(long otherStartMillis) {
        endedStartMillis.remove(otherStartMillis);
        endedStartMillis.addLast(otherStartMillis);
        if (endedStartMillis.size() > MAX_ENDED) {
            endedStartMillis.removeFirst();
        }
    }

    /** Keeps the heartbeat of another incarnation until a poll response confirms it. */
    void keepUnconfirmed(HostHeartbeat heartbeat) {
        HostHeartbeat kept = unconfirmedHeartbeat;
        boolean outdated = kept != null
                && kept.startMillis() == heartbeat.startMillis()
                && kept.sequence() >= heartbeat.sequence();
        if (!outdated) {
            unconfirmedHeartbeat = heartbeat;
        }
    }

    /** Removes and returns the heartbeat that was kept, if the current incarnation sent it. */
    Optional<HostHeartbeat> removeConfirmedHeartbeat() {
        HostHeartbeat kept = unconfirmedHeartbeat;
        unconfirmedHeartbeat = null;
        return Optional.ofNullable(kept).filter(heartbeat -> heartbeat.startMillis() == startMillis);
    }

    /**
     * Returns which incarnation sent a response, and takes a later one for the current one from now on.
     *
     * @param response the response; one of a command that was not executed is taken for that of the current incarnation
     * @param lease the lease on the current incarnation, whose clock tells a response of another one where starts are not told
     * @param commandSentNanos when the command was sent, by the monotonic clock
     * @param nowNanos the monotonic time
     */
    Sender senderOf(HostResponse response, HostLease lease, long commandSentNanos, long nowNanos) {
        return switch (response) {
            case HostResponse.PollResult result ->
                identifySender(result.startMillis(), result.clockMillis(), lease, commandSentNanos, nowNanos);
            case HostResponse.Accepted accepted ->
                identifySender(accepted.startMillis(), accepted.clockMillis(), lease, commandSentNanos, nowNanos);
            default -> Sender.CURRENT;
        };
    }

    private Sender identifySender(
            long responseStartMillis, long clockMillis, HostLease lease, long commandSentNanos, long nowNanos) {
        boolean comparable =
                responseStartMillis != HostIncarnation.UNKNOWN_START && startMillis != HostIncarnation.UNKNOWN_START;
        if (!comparable && lease.isClockRestarted(clockMillis, commandSentNanos)) {
            return identifySenderWithRestartedClock(responseStartMillis, commandSentNanos, nowNanos);
        }
        return identifySender(responseStartMillis, commandSentNanos, nowNanos);
    }

    /**
     * Identifies the sender by its start. What was sent once the current incarnation was known cannot have reached an earlier one; of two
     * commands that were sent before, the later one may have.
     */
    private Sender identifySender(long responseStartMillis, long commandSentNanos, long nowNanos) {
        if (responseStartMillis == HostIncarnation.UNKNOWN_START) {
            return identified();
        }
        boolean sentBefore = commandSentNanos - latestCommandNanos < 0;
        boolean hasEnded = hasEnded(responseStartMillis) && commandSentNanos - identifiedNanos < 0;
        if (responseStartMillis != startMillis && (sentBefore || hasEnded)) {
            return Sender.EARLIER;
        }
        if (isOther(responseStartMillis)) {
            startLater(responseStartMillis, commandSentNanos, nowNanos);
            return Sender.LATER;
        }
        boolean newlyTold = startMillis != responseStartMillis;
        startMillis = responseStartMillis;
        latestCommandNanos = sentBefore ? latestCommandNanos : commandSentNanos;
        return newlyTold ? identifiedAnew() : identified();
    }

    private Sender identified() {
        return identified ? Sender.CURRENT : identifiedAnew();
    }

    private Sender identifiedAnew() {
        identified = true;
        return Sender.IDENTIFIED;
    }

    /** Identifies the sender of a response whose clock has started anew. */
    private Sender identifySenderWithRestartedClock(long responseStartMillis, long commandSentNanos, long nowNanos) {
        if (commandSentNanos - latestCommandNanos < 0) {
            return Sender.EARLIER;
        }
        startLater(responseStartMillis, commandSentNanos, nowNanos);
        return Sender.LATER;
    }

    private void startLater(long laterStartMillis, long commandSentNanos, long nowNanos) {
        endedStartMillis.remove(laterStartMillis);
        if (startMillis != HostIncarnation.UNKNOWN_START) {
            recordEnded(startMillis);
        }
        identified = true;
        startMillis = laterStartMillis;
        latestCommandNanos = commandSentNanos;
        identifiedNanos = nowNanos;
    }
}
