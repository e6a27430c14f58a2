package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.NotSent;
import org.nettlering.domain.workflow.host.HostResponse.OtherIncarnation;
import org.nettlering.domain.workflow.host.HostResponse.Unhealthy;

/**
 * How one life of a host is in touch with the leader of one term: what it reports, whether it answers, whether it leaves.
 *
 * <p>Guarantees that a host that has said that it leaves counts as gone only some time after its last sign of life. Belongs
 * to a {@link HostSession}. Not thread-safe.
 */
final class HostLiveness {
    /** How long after the last report a host gets no new work: three reports of the slowest kind. */
    private static final Duration HEARTBEAT_TIMEOUT = Duration.ofMillis(4_500);

    /** How long a host gets no new work after it refused some: what it has ends, or it is told of, by then. */
    private static final Duration REJECTION_BACKOFF = Duration.ofMillis(500);

    /** How long after its last sign of life a host that leaves is gone: it says so again if it got no answer in a second. */
    private static final Duration SHUTDOWN_TIMEOUT = Duration.ofMillis(1_500);

    /** When the session began, by the monotonic clock. */
    private final long sessionStartNanos;

    /** The latest report, or null if none came in this term. */
    private @Nullable HostHeartbeat latestHeartbeat;

    /** When it came, by the monotonic clock. */
    private long heartbeatNanos;

    /** Whether the last order got no answer. */
    private boolean unresponsive;

    /** When the host answered an order last, by the monotonic clock, or null if it never did. */
    private @Nullable Long lastResponseNanos;

    /** Until when the host gets no new work because it refused some, by the monotonic clock. */
    private long rejectionBackoffUntilNanos;

    /** When this life ends for good, by the monotonic clock, or null while it goes on. */
    private @Nullable Long terminationNanos;

    /** What shows that this life ends. */
    private TerminationEvidence terminationEvidence = new TerminationEvidence.HostLeft();

    HostLiveness(long nowNanos) {
        sessionStartNanos = nowNanos;
        rejectionBackoffUntilNanos = nowNanos;
    }

    Optional<HostHeartbeat> latestHeartbeat() {
        return Optional.ofNullable(latestHeartbeat);
    }

    /** Tells whether the last order got no answer, or the host was not well. */
    boolean isUnresponsive() {
        return unresponsive;
    }

    /** Tells whether new work may be given to the host as far as its reports and answers show. */
    boolean acceptsRuns(long nowNanos) {
        HostHeartbeat heartbeat = latestHeartbeat;
        return heartbeat != null
                && !heartbeat.draining()
                && terminationNanos == null
                && !unresponsive
                && nowNanos - rejectionBackoffUntilNanos >= 0
                && hasRecentHeartbeat(nowNanos);
    }

    /** Tells whether a report came lately. */
    boolean hasRecentHeartbeat(long nowNanos) {
        return latestHeartbeat != null && nowNanos - heartbeatNanos < HEARTBEAT_TIMEOUT.toNanos();
    }

    /** Tells whether no report came for long. */
    boolean isHeartbeatLongOverdue(long nowNanos) {
        return nowNanos - Math.max(heartbeatNanos, sessionStartNanos) > 4 * HEARTBEAT_TIMEOUT.toNanos();
    }

    /** Tells whether this life is over. A look that is out may still bring how the runs of a host that left have ended. */
    boolean isIncarnationTerminated(boolean pollInFlight, long nowNanos) {
        Long terminatedAtNanos = terminationNanos;
        boolean pollMayReportTerminations = pollInFlight && terminationEvidence instanceof TerminationEvidence.HostLeft;
        return terminatedAtNanos != null && nowNanos - terminatedAtNanos >= 0 && !pollMayReportTerminations;
    }

    /** Returns when this life is over, by the monotonic clock, or empty while it goes on. */
    OptionalLong terminationNanos() {
        return terminationNanos == null ? OptionalLong.empty() : OptionalLong.of(terminationNanos);
    }

    /** Returns what shows that this life is over. */
    TerminationEvidence terminationEvidence() {
        return terminationEvidence;
    }

    /** Returns the age of the last report in milliseconds, or {@link TerminationEvidence#NEVER}. */
    long heartbeatAgeMillis(long nowNanos) {
        return latestHeartbeat == null
                ? TerminationEvidence.NEVER
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - heartbeatNanos);
    }

    /** Returns the age of the last answer in milliseconds, or {@link TerminationEvidence#NEVER}. */
    long responseAgeMillis(long nowNanos) {
        Long respondedNanos = lastResponseNanos;
        return respondedNanos == null
                ? TerminationEvidence.NEVER
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - respondedNanos);
    }

    /** Takes a report; returns false if it is older than one that was taken. */
    boolean handleHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        HostHeartbeat previous = latestHeartbeat;
        if (previous != null && heartbeat.sequence() <= previous.sequence()) {
            return false;
        }
        latestHeartbeat = heartbeat;
        heartbeatNanos = nowNanos;
        postponeTermination(nowNanos);
        return true;
    }

    /** Notes that the host has said that it leaves. */
    void handleShutdownNotice(long nowNanos) {
        if (terminationNanos == null) {
            terminationNanos = nowNanos + SHUTDOWN_TIMEOUT.toNanos();
        }
        postponeTermination(nowNanos);
    }

    /** Takes a sign of life of a host that has said that it leaves: it has not gone yet. */
    private void postponeTermination(long nowNanos) {
        if (terminationNanos != null && terminationEvidence instanceof TerminationEvidence.HostLeft) {
            terminationNanos = nowNanos + SHUTDOWN_TIMEOUT.toNanos();
        }
    }

    /** Takes what came of an order. */
    void recordResponse(HostResponse response, long nowNanos) {
        boolean unreachable = response instanceof NoResponse || response instanceof NotSent;
        unresponsive = unreachable || response instanceof Unhealthy;
        if (response instanceof OtherIncarnation) {
            terminationNanos = nowNanos;
            terminationEvidence = new TerminationEvidence.OtherLife();
        } else if (!unreachable) {
            lastResponseNanos = nowNanos;
            postponeTermination(nowNanos);
        }
    }

    /** Notes that the host refused work. */
    void recordRejection(long nowNanos) {
        rejectionBackoffUntilNanos = nowNanos + REJECTION_BACKOFF.toNanos();
    }
}
