package org.nettlering.domain.workflow.host;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostIncarnation;

/**
 * Tells the incarnations of a host apart that starts again under its id.
 *
 * <p>Only poll responses decide which incarnation is the current one, by the order in which the polls were sent: heartbeats may
 * arrive late, and the times of starts are read from clocks that may jump. A heartbeat of another incarnation is kept until
 * a poll response confirms it. Not thread-safe.
 */
final class IncarnationTracker {
    /** Which incarnation sent a poll response. */
    enum Sender {
        /** The current one. */
        CURRENT,
        /** One that started after the current one, which has terminated. */
        LATER,
        /** One that had terminated before the current one started. */
        EARLIER
    }

    /** When the current incarnation started, in milliseconds since 1970. */
    private long startMillis = HostIncarnation.UNKNOWN_START;

    /**
     * When the latest poll was sent to which the current incarnation responded, or when tracking began, by the monotonic
     * clock.
     */
    private long latestPollNanos;

    /** The latest heartbeat of an incarnation that is not known to be the current one, or null. */
    private @Nullable HostHeartbeat unconfirmedHeartbeat;

    /**
     * Creates a tracker that knows no incarnation.
     *
     * @param nowNanos the monotonic time
     */
    IncarnationTracker(long nowNanos) {
        latestPollNanos = nowNanos;
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

    /** Returns which incarnation sent the response to a poll, and takes a later one for the current one from now on. */
    Sender identifySender(long responseStartMillis, long pollSentNanos) {
        if (isOther(responseStartMillis) && pollSentNanos - latestPollNanos < 0) {
            return Sender.EARLIER;
        }
        Sender sender = isOther(responseStartMillis) ? Sender.LATER : Sender.CURRENT;
        latestPollNanos = pollSentNanos;
        startMillis = responseStartMillis == HostIncarnation.UNKNOWN_START ? startMillis : responseStartMillis;
        return sender;
    }
}
