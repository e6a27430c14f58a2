package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.NotSent;
import org.nettlering.domain.workflow.host.HostResponse.OtherIncarnation;
import org.nettlering.domain.workflow.host.HostResponse.Unhealthy;

/**
 * The liveness of one host incarnation as seen by the leader of one term: its heartbeats, its responses and its
 * shutdown.
 *
 * <p>The announcement of a shutdown proves nothing of the runs on the host, however long it is silent since: the host may
 * go on without an acknowledgement. Belongs to a {@link HostSession}. Not thread-safe.
 */
final class HostLiveness {
    /** How long after its last heartbeat a host gets no new runs: three times the longest heartbeat interval. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(4_500);

    /**
     * How long a host gets no new runs after it rejected one; by then its current runs have terminated, or heartbeats
     * and poll responses have reported them.
     */
    private static final Duration REJECTION_BACKOFF = Duration.ofMillis(500);

    /**
     * How long after the last contact a host that is shutting down is not tracked any more if no run may be active there;
     * it repeats the notice if it gets no response within a second.
     */
    private static final Duration DEPARTURE_TIMEOUT = Duration.ofMillis(1_500);

    private final long sessionStartNanos;

    /** The latest heartbeat, or null if none was received in this term. */
    private @Nullable HostHeartbeat latestHeartbeat;

    /** When the latest heartbeat was received, by the monotonic clock. */
    private long heartbeatNanos;

    /** Whether the last command got no response or the host was unhealthy. */
    private boolean unresponsive;

    /** When the host last responded to a command, by the monotonic clock, or null if it never did. */
    private @Nullable Long lastResponseNanos;

    private long rejectionBackoffUntilNanos;

    private boolean shutdownAnnounced;

    /** When the incarnation that announced its shutdown started, in milliseconds since 1970, if it told that. */
    private long announcedStartMillis = HostIncarnation.UNKNOWN_START;

    /** When a heartbeat, a response or a notice of the host was received last, by the monotonic clock. */
    private long lastContactNanos;

    /** Whether another incarnation has responded at the address of the host. */
    private boolean replaced;

    /**
     * A heartbeat and when it was received.
     *
     * @param receivedNanos the monotonic time
     */
    record ReceivedHeartbeat(HostHeartbeat heartbeat, long receivedNanos) {}

    HostLiveness(long nowNanos) {
        sessionStartNanos = nowNanos;
        rejectionBackoffUntilNanos = nowNanos;
    }

    Optional<HostHeartbeat> latestHeartbeat() {
        return Optional.ofNullable(latestHeartbeat);
    }

    /** Returns whether the last command got no response or the host was unhealthy. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Returns whether new runs may be started on the host as far as its heartbeats and responses show. */
    boolean acceptsRuns(long nowNanos) {
        HostHeartbeat heartbeat = latestHeartbeat;
        return heartbeat != null
                && !heartbeat.draining()
                && !shutdownAnnounced
                && !replaced
                && !unresponsive
                && nowNanos - rejectionBackoffUntilNanos >= 0
                && hasRecentHeartbeat(nowNanos);
    }

    boolean hasRecentHeartbeat(long nowNanos) {
        return latestHeartbeat != null && nowNanos - heartbeatNanos < HEARTBEAT_TIMEOUT.toNanos();
    }

    boolean isHeartbeatLongOverdue(long nowNanos) {
        return nowNanos - Math.max(heartbeatNanos, sessionStartNanos) > 4 * HEARTBEAT_TIMEOUT.toNanos();
    }

    /** Returns whether the incarnation has certainly terminated, as another one responds at its address. */
    boolean isIncarnationTerminated() {
        return replaced;
    }

    /**
     * Returns whether the host announced its shutdown and has been silent for a while. It may still run. While a poll is in
     * flight, it has not left: the response may still report how its runs terminated.
     */
    boolean hasLeft(boolean pollInFlight, long nowNanos) {
        return shutdownAnnounced && !pollInFlight && nowNanos - lastContactNanos >= DEPARTURE_TIMEOUT.toNanos();
    }

    /** Returns whether the host has announced its shutdown, after which it neither starts nor keeps any run. */
    boolean isShutdownAnnounced() {
        return shutdownAnnounced;
    }

    /** Returns the age of the latest heartbeat in milliseconds, or {@link TerminationEvidence#NEVER}. */
    long heartbeatAgeMillis(long nowNanos) {
        return latestHeartbeat == null
                ? TerminationEvidence.NEVER
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - heartbeatNanos);
    }

    /** Returns the age of the last response in milliseconds, or {@link TerminationEvidence#NEVER}. */
    long responseAgeMillis(long nowNanos) {
        Long respondedNanos = lastResponseNanos;
        return respondedNanos == null
                ? TerminationEvidence.NEVER
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - respondedNanos);
    }

    /** Handles a heartbeat; returns false if it is ignored because it is not newer than the latest one. */
    boolean handleHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        HostHeartbeat previous = latestHeartbeat;
        boolean outdated = previous != null
                && !HostIncarnation.isOtherStart(previous.startMillis(), heartbeat.startMillis())
                && heartbeat.sequence() <= previous.sequence();
        if (outdated) {
            return false;
        }
        latestHeartbeat = heartbeat;
        heartbeatNanos = nowNanos;
        lastContactNanos = nowNanos;
        return true;
    }

    /** Returns whether the host has announced its end. */
    boolean isLeaving() {
        return shutdownAnnounced
                || latestHeartbeat().filter(HostHeartbeat::draining).isPresent();
    }

    /** Handles the notice of the host that it is shutting down. */
    void handleShutdownNotice(long startMillis, long nowNanos) {
        shutdownAnnounced = true;
        announcedStartMillis = startMillis;
        lastContactNanos = nowNanos;
    }

    /** Forgets a notice of another incarnation than the one that has been identified. */
    void discardNoticeOfOther(long startMillis) {
        shutdownAnnounced &= !HostIncarnation.isOtherStart(announcedStartMillis, startMillis);
    }

    /** Removes and returns the latest heartbeat if it is of another incarnation than the one that has been identified. */
    Optional<ReceivedHeartbeat> removeHeartbeatOfOther(long startMillis) {
        HostHeartbeat heartbeat = latestHeartbeat;
        if (heartbeat == null || !HostIncarnation.isOtherStart(heartbeat.startMillis(), startMillis)) {
            return Optional.empty();
        }
        latestHeartbeat = null;
        return Optional.of(new ReceivedHeartbeat(heartbeat, heartbeatNanos));
    }

    void recordResponse(HostResponse response, long nowNanos) {
        boolean unreachable = response instanceof NoResponse || response instanceof NotSent;
        unresponsive = unreachable || response instanceof Unhealthy;
        if (response instanceof OtherIncarnation) {
            replaced = true;
        } else if (!unreachable) {
            lastResponseNanos = nowNanos;
            lastContactNanos = nowNanos;
        }
    }

    /** Starts the backoff after the host rejected a run. */
    void recordRejection(long nowNanos) {
        rejectionBackoffUntilNanos = nowNanos + REJECTION_BACKOFF.toNanos();
    }

    /** Returns the first reason why no new runs are started on the host, or empty if {@link #acceptsRuns} is true. */
    Optional<HostRefusal> refusal(long nowNanos) {
        HostHeartbeat heartbeat = latestHeartbeat;
        if (heartbeat == null) {
            return Optional.of(HostRefusal.NO_HEARTBEAT);
        }
        if (shutdownAnnounced || replaced) {
            return Optional.of(HostRefusal.SHUTTING_DOWN);
        }
        if (heartbeat.draining()) {
            return Optional.of(HostRefusal.DRAINING);
        }
        if (!hasRecentHeartbeat(nowNanos)) {
            return Optional.of(HostRefusal.HEARTBEAT_OLD);
        }
        if (unresponsive) {
            return Optional.of(HostRefusal.UNRESPONSIVE);
        }
        boolean rejected = nowNanos - rejectionBackoffUntilNanos < 0;
        return rejected ? Optional.of(HostRefusal.REJECTED_START) : Optional.empty();
    }
}
