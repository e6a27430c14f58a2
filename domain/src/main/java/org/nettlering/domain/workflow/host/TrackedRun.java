package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.ActiveRun;

/** A run that may be at work on a host, as the leader follows it. Belongs to a {@link HostSession}. Not thread-safe. */
final class TrackedRun {
    /** How much is known of the run. */
    enum Stage {
        /** An earlier leader logged the start; whether the host got the order is not known. */
        INHERITED,
        /** The start was logged; the order is not sent yet. */
        START_PENDING,
        /** The order is on its way. */
        START_SENT,
        /** The order got no answer: it may have been carried out, or may be later. */
        START_UNANSWERED,
        /** The host has confirmed the run. */
        CONFIRMED
    }

    /** How long to wait for the effect of a stop before it is sent again. */
    static final Duration STOP_RETRY_DELAY = Duration.ofMillis(400);

    /** The pace of a run that was told nothing, in percent. */
    private static final int FULL_SPEED_PERCENT = 100;

    /** Stands for the pace of a run to which an earlier leader may have told one. */
    private static final int UNKNOWN_SPEED = -1;

    /** The run. */
    final ActiveRun activeRun;

    /** What the task is to do; empty for an inherited run, which is never sent again. */
    final String taskSpecification;

    /** The permission of the queue's policy, empty if none is needed. */
    final String ticket;

    /** How much is known. */
    Stage stage;

    /** When the host confirmed the run, by the monotonic clock. */
    long confirmedNanos;

    /** Whether the run has to stop. */
    boolean stopRequested;

    /** Whether a stop is on its way. */
    private boolean stopInFlight;

    /** When the next stop may be sent, by the monotonic clock. */
    private long nextStopNanos;

    /** Whether the host answered a stop. */
    private boolean stopAcknowledged;

    /** When it did, by the monotonic clock. */
    private long stopAcknowledgedNanos;

    /** Whether an end was found and waits to be logged. */
    boolean terminationFound;

    /** What showed the end that was found, or null while none was. */
    @Nullable
    TerminationEvidence evidence;

    /** The newest saved progress, empty if none. */
    String checkpoint;

    /** How far the run is, as listed last. */
    private int progressPercent;

    /** When the percent last rose, by the monotonic clock. */
    private long lastProgressNanos;

    /** The load as listed last: milliseconds of tail, or millicores. */
    private long load;

    /** The pace that is wanted, in percent. */
    private int desiredSpeedPercent = FULL_SPEED_PERCENT;

    /** The pace that the host was told last, in percent, or {@link #UNKNOWN_SPEED}. */
    private int acknowledgedSpeedPercent = FULL_SPEED_PERCENT;

    /** When the host took the first order to work at less than its full speed, by the monotonic clock. */
    private long throttledSinceNanos;

    /** Whether an order of pace is on its way. */
    private boolean throttleInFlight;

    /** Whether the run was listed at work. */
    boolean reportedRunning;

    TrackedRun(ActiveRun activeRun, String taskSpecification, String ticket, Stage stage, long nowNanos) {
        this.activeRun = activeRun;
        this.taskSpecification = taskSpecification;
        this.ticket = ticket;
        this.stage = stage;
        this.checkpoint = activeRun.checkpoint();
        this.nextStopNanos = nowNanos;
        this.lastProgressNanos = nowNanos;
    }

    /** Takes note that an earlier leader may have told the host a pace. */
    void markSpeedUnknown(long nowNanos) {
        acknowledgedSpeedPercent = UNKNOWN_SPEED;
        throttledSinceNanos = nowNanos;
    }

    void setDesiredSpeed(int speedPercent) {
        desiredSpeedPercent = speedPercent;
    }

    /** Takes note that an end was found, and of what showed it. */
    void recordTermination(TerminationEvidence terminationEvidence) {
        terminationFound = true;
        evidence = terminationEvidence;
    }

    /** Tells whether the host itself listed the end that was found. */
    boolean isTerminationReported() {
        return evidence instanceof TerminationEvidence.Listed;
    }

    /** Returns the order that the host is owed for this run, and takes it as sent. */
    Optional<HostCommand> takeDueCommand(long token, HostLease lease, boolean unresponsive, long nowNanos) {
        if (terminationFound) {
            return Optional.empty();
        }
        if (stage == Stage.START_PENDING) {
            return lease.canBeRenewed() && !stopRequested
                    ? Optional.of(createStart(token, lease.renew(nowNanos)))
                    : Optional.empty();
        }
        if (stopRequested) {
            return isStopDue(nowNanos) ? Optional.of(createStop(token)) : Optional.empty();
        }
        return isThrottleDue(unresponsive) ? Optional.of(createThrottle(token)) : Optional.empty();
    }

    private HostCommand createStart(long token, long leaseExpiryMillis) {
        stage = Stage.START_SENT;
        return new HostCommand.Start(token, activeRun, taskSpecification, leaseExpiryMillis, ticket);
    }

    private boolean isStopDue(long nowNanos) {
        return !stopInFlight && !stopAcknowledged && nowNanos - nextStopNanos >= 0;
    }

    /** Returns when a stop that nothing else holds up falls due, or empty. */
    OptionalLong nextStopNanos() {
        boolean pending = !terminationFound
                && stage != Stage.START_PENDING
                && stopRequested
                && !stopInFlight
                && !stopAcknowledged;
        return pending ? OptionalLong.of(nextStopNanos) : OptionalLong.empty();
    }

    private HostCommand createStop(long token) {
        stopInFlight = true;
        return new HostCommand.Stop(activeRun.host(), token, activeRun.run());
    }

    private boolean isThrottleDue(boolean unresponsive) {
        return stage == Stage.CONFIRMED
                && !throttleInFlight
                && !unresponsive
                && desiredSpeedPercent != acknowledgedSpeedPercent;
    }

    private HostCommand createThrottle(long token) {
        throttleInFlight = true;
        return new HostCommand.Throttle(activeRun.host(), token, activeRun.run(), desiredSpeedPercent);
    }

    /** Takes what came of a stop. */
    void stopAcknowledged(boolean accepted, long nowNanos) {
        stopInFlight = false;
        nextStopNanos = nowNanos + STOP_RETRY_DELAY.toNanos();
        if (accepted) {
            stopAcknowledged = true;
            stopAcknowledgedNanos = nowNanos;
        }
    }

    /** Has the stop sent again if the run is still listed long after the host answered it. */
    void resendStopIfIneffective(Duration grace, long nowNanos) {
        if (stopAcknowledged
                && nowNanos - stopAcknowledgedNanos
                        > grace.plus(STOP_RETRY_DELAY).toNanos()) {
            stopAcknowledged = false;
        }
    }

    /** Tells whether the grace of an answered stop was over when a look was sent. */
    boolean wasStopCompleteBy(Duration grace, long sentNanos) {
        return stopAcknowledged && sentNanos - stopAcknowledgedNanos >= grace.toNanos();
    }

    /** Takes what came of an order of pace. */
    void onThrottleResponse(int speedPercent, boolean accepted, long nowNanos) {
        throttleInFlight = false;
        if (!accepted) {
            return;
        }
        if (acknowledgedSpeedPercent == FULL_SPEED_PERCENT) {
            throttledSinceNanos = nowNanos;
        }
        acknowledgedSpeedPercent = speedPercent;
    }

    /** Returns what the last look told of the run. */
    RunUsage toUsage() {
        return new RunUsage(
                activeRun.run(),
                load,
                Math.max(0, acknowledgedSpeedPercent),
                progressPercent,
                lastProgressNanos,
                throttledSinceNanos);
    }

    void confirm(long nowNanos) {
        if (stage != Stage.CONFIRMED) {
            stage = Stage.CONFIRMED;
            confirmedNanos = nowNanos;
        }
    }

    void onReportedRunning(HostResponse.ReportedRun reported, long nowNanos) {
        confirm(nowNanos);
        reportedRunning = true;
        if (!reported.checkpoint().isEmpty()) {
            checkpoint = reported.checkpoint();
        }
        if (reported.progressPercent() > progressPercent) {
            lastProgressNanos = nowNanos;
        }
        progressPercent = reported.progressPercent();
        load = reported.load();
    }
}
