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
 * arrive late, and the times of starts are read from clocks that may jump. A heartbeat of another incarnation is kept until
 * a response confirms it. Not thread-safe.
 */
final class IncarnationTracker {
    /** Which incarnation sent a response. */
    enum Sender {
        /** The current one. */
        CURRENT,
        /** One that started after the current one, which has terminated. */
        LATER,
        /** One that had terminated before the current one started. */
        EARLIER
    }

    /** Responses of more ended incarnations than these are not under way at once. */
    private static final int MAX_ENDED = 4;

    /** When the current incarnation started, in milliseconds since 1970. */
    private long startMillis = HostIncarnation.UNKNOWN_START;

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

    /** Returns whether a time of a start is not that of the current incarnation. */
    boolean isOther(long otherStartMillis) {
        return HostIncarnation.isOtherStart(startMillis, otherStartMillis);
    }

    /** Returns whether a time of a start is that of an incarnation that has ended. */
    boolean hasEnded(long otherStartMillis) {
        return endedStartMillis.contains(otherStartMillis);
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
     * @param lease the lease on the current incarnation, whose clock tells a response of another one that does not tell its start
     * @param commandSentNanos when the command was sent, by the monotonic clock
     * @param nowNanos the monotonic time
     */
    Sender senderOf(HostResponse response, HostLease lease, long commandSentNanos, long nowNanos) {
        return switch (response) {
            case HostResponse.PollResult result -> identifySender(result.startMillis(), commandSentNanos, nowNanos);
            case HostResponse.Accepted accepted
            when isOfRestartedClock(accepted, lease, commandSentNanos) ->
                identifySenderWithRestartedClock(commandSentNanos, nowNanos);
            case HostResponse.Accepted accepted -> identifySender(accepted.startMillis(), commandSentNanos, nowNanos);
            default -> Sender.CURRENT;
        };
    }

    private static boolean isOfRestartedClock(HostResponse.Accepted accepted, HostLease lease, long commandSentNanos) {
        return accepted.startMillis() == HostIncarnation.UNKNOWN_START
                && lease.isClockRestarted(accepted.clockMillis(), commandSentNanos);
    }

    /**
     * Identifies the sender by its start. What was sent once the current incarnation was known cannot have reached an earlier one; of two
     * commands that were sent before, the later one may have.
     */
    private Sender identifySender(long responseStartMillis, long commandSentNanos, long nowNanos) {
        if (responseStartMillis == HostIncarnation.UNKNOWN_START) {
            return Sender.CURRENT;
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
        startMillis = responseStartMillis;
        latestCommandNanos = sentBefore ? latestCommandNanos : commandSentNanos;
        return Sender.CURRENT;
    }

    /** Identifies the sender of a response whose clock has started anew. */
    private Sender identifySenderWithRestartedClock(long commandSentNanos, long nowNanos) {
        if (commandSentNanos - latestCommandNanos < 0) {
            return Sender.EARLIER;
        }
        startLater(HostIncarnation.UNKNOWN_START, commandSentNanos, nowNanos);
        return Sender.LATER;
    }

    private void startLater(long laterStartMillis, long commandSentNanos, long nowNanos) {
        endedStartMillis.remove(laterStartMillis);
        if (startMillis != HostIncarnation.UNKNOWN_START) {
            endedStartMillis.addLast(startMillis);
        }
        if (endedStartMillis.size() > MAX_ENDED) {
            endedStartMillis.removeFirst();
        }
        startMillis = laterStartMillis;
        latestCommandNanos = commandSentNanos;
        identifiedNanos = nowNanos;
    }
}
