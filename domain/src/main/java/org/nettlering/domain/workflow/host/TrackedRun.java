package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;

/**
 * A run that may be active on a host, and the commands due for it.
 *
 * <p>Belongs to a {@link HostSession}. Not thread-safe.
 */
final class TrackedRun {
    /** How much the leader knows about the start of a run. */
    enum Stage {
        /** An earlier leader committed the start; whether the host received the command is unknown. */
        INHERITED,
        /** The start is committed, but the command is not sent yet. */
        START_PENDING,
        /** The start command is in flight. */
        START_SENT,
        /** The start command timed out: the host may have executed it, or may do so later. */
        START_UNANSWERED,
        /** The host has confirmed that the run started. */
        CONFIRMED
    }

    /** How long to wait for a stop to take effect before it is sent again. */
    static final Duration STOP_RETRY_DELAY = Duration.ofMillis(400);

    /** How long a run is at work before a crash of its host is no longer ascribed to its start. */
    private static final Duration HARMLESS_AFTER = Duration.ofMillis(500);

    /** The speed of a run that was never throttled. */
    private static final int FULL_SPEED_PERCENT = 100;

    /** Marks the speed of a run that an earlier leader may have throttled. */
    private static final int UNKNOWN_SPEED = -1;

    final ActiveRun activeRun;

    /** Empty for an inherited run, which is never started again. */
    final String taskSpecification;

    /** The admission ticket from the queue's policy, empty if none is needed. */
    final String ticket;

    Stage stage;

    /** When the host confirmed the run, by the monotonic clock. */
    long confirmedNanos;

    boolean stopRequested;

    private boolean stopInFlight;

    /** The earliest monotonic time of the next stop command. */
    private long nextStopNanos;

    private boolean stopAcknowledged;

    private long stopAcknowledgedNanos;

    /** The termination that is known and not committed yet, or null while none is known. */
    @Nullable
    RecordTermination termination;

    /** The evidence of the termination, or null while none is known. */
    @Nullable
    TerminationEvidence evidence;

    /** The latest checkpoint, empty if none. */
    String checkpoint;

    /** The progress reported last. */
    private int progressPercent;

    /** When the reported progress last increased, by the monotonic clock. */
    private long lastProgressNanos;

    /** The load reported last: tail latency in milliseconds, or millicores in use. */
    private long load;

    private int desiredSpeedPercent = FULL_SPEED_PERCENT;

    /** The speed that the host acknowledged last, in percent, or {@link #UNKNOWN_SPEED}. */
    private int acknowledgedSpeedPercent = FULL_SPEED_PERCENT;

    /** When the host acknowledged the change from full speed, by the monotonic clock. */
    private long throttledSinceNanos;

    private boolean throttleInFlight;

    /** Whether a poll response reported the run as running. */
    boolean reportedRunning;

    /** When the run was started or, if an earlier leader started it, was first tracked, by the monotonic clock. */
    private long startNanos;

    /** Whether the run did all its work under this leader and was never to be throttled. */
    private boolean uninterrupted;

    /** Whether the host reported the run as running for long enough to show that starting it does not crash the host. */
    private boolean provenHarmless;

    /** Whether the host is polled as soon as its response can show that. */
    private boolean watched;

    TrackedRun(ActiveRun activeRun, String taskSpecification, String ticket, Stage stage, long nowNanos) {
        this.activeRun = activeRun;
        this.taskSpecification = taskSpecification;
        this.ticket = ticket;
        this.stage = stage;
        this.checkpoint = activeRun.checkpoint();
        this.nextStopNanos = nowNanos;
        this.lastProgressNanos = nowNanos;
        this.startNanos = nowNanos;
        this.uninterrupted =
                stage == Stage.START_PENDING && activeRun.checkpoint().isEmpty();
    }

    /** Marks the speed as unknown because an earlier leader may have throttled the run. */
    void markSpeedUnknown(long nowNanos) {
        acknowledgedSpeedPercent = UNKNOWN_SPEED;
        throttledSinceNanos = nowNanos;
    }

    void setDesiredSpeed(int speedPercent) {
        desiredSpeedPercent = speedPercent;
        uninterrupted &= speedPercent == FULL_SPEED_PERCENT;
    }

    void recordTermination(RecordTermination found, TerminationEvidence terminationEvidence) {
        termination = found;
        evidence = terminationEvidence;
    }

    /** Returns whether a termination is known that is not committed yet. */
    boolean isTerminationFound() {
        return termination != null;
    }

    /** Returns whether the host may have received the start of the run, and no termination is known. */
    boolean mayBeActive() {
        return stage != Stage.START_PENDING && !isTerminationFound();
    }

    /**
     * Returns whether a host that does not report the run would have executed its start before a poll was sent, if ever: it had
     * confirmed it, or an earlier leader had sent it, whose commands the poll ended.
     */
    boolean wasActiveBefore(long pollSentNanos) {
        boolean confirmed = stage == Stage.CONFIRMED && pollSentNanos - confirmedNanos >= 0;
        return (confirmed || stage == Stage.INHERITED) && !isTerminationFound();
    }

    /** Returns whether the response to a poll would report the run if its start was ever executed. */
    boolean isExpectedInResponse(long pollSentNanos) {
        return switch (stage) {
            case START_PENDING, START_SENT -> false;
            case INHERITED, START_UNANSWERED -> true;
            case CONFIRMED -> pollSentNanos - confirmedNanos >= 0;
        };
    }

    /** Returns whether the run, if it is active, may crash its host by being started. */
    boolean isUnproven() {
        return !provenHarmless && !isTerminationFound();
    }

    /** Has the host polled as soon as its response can show that the run is harmless. */
    void watch() {
        watched = true;
    }

    /** Returns how long to wait until a response can show that the run is harmless, if it is watched for that. */
    Optional<Duration> timeUntilProof(long nowNanos) {
        boolean awaited = watched && mayBeActive() && !provenHarmless;
        long remainingNanos = startNanos + HARMLESS_AFTER.toNanos() - nowNanos;
        return awaited ? Optional.of(Duration.ofNanos(Math.max(0, remainingNanos))) : Optional.empty();
    }

    /** Returns whether the run may have crashed its host. */
    boolean isCrashSuspect() {
        return stage != Stage.START_PENDING && isUnproven();
    }

    /** Returns whether the start was sent and the host has not shown which of its incarnations executed it, if any. */
    boolean isUnconfirmed() {
        return stage == Stage.START_SENT || stage == Stage.START_UNANSWERED;
    }

    /** Returns whether the host has shown to this leader that the run had begun. */
    boolean hasBegun() {
        return stage == Stage.CONFIRMED;
    }

    /** Returns whether the host itself reported the termination. */
    boolean isTerminationReported() {
        return evidence instanceof TerminationEvidence.Listed;
    }

    /** Returns the command that is due for this run, if any, and treats it as sent. */
    Optional<HostCommand> takeDueCommand(
            long token, HostLease lease, boolean startable, boolean unresponsive, long nowNanos) {
        if (isTerminationFound()) {
            return Optional.empty();
        }
        if (stage == Stage.START_PENDING) {
            return startable && lease.canBeRenewed() && !stopRequested
                    ? Optional.of(createStart(token, lease.renew(nowNanos), nowNanos))
                    : Optional.empty();
        }
        if (stopRequested) {
            return isStopDue(nowNanos) ? Optional.of(createStop(token)) : Optional.empty();
        }
        return isThrottleDue(unresponsive) ? Optional.of(createThrottle(token)) : Optional.empty();
    }

    private HostCommand createStart(long token, long leaseExpiryMillis, long nowNanos) {
        stage = Stage.START_SENT;
        startNanos = nowNanos;
        return new HostCommand.Start(token, activeRun, taskSpecification, leaseExpiryMillis, ticket);
    }

    private boolean isStopDue(long nowNanos) {
        return !stopInFlight && !stopAcknowledged && nowNanos - nextStopNanos >= 0;
    }

    /**
     * Returns when the next stop command falls due, or empty if none is needed or one is in flight or acknowledged.
     */
    OptionalLong nextStopNanos() {
        boolean pending = !isTerminationFound()
                && stage != Stage.START_PENDING
                && stopRequested
                && !stopInFlight
                && !stopAcknowledged;
        return pending ? OptionalLong.of(nextStopNanos) : OptionalLong.empty();
    }

    /** Has a requested stop sent again, because the incarnation that acknowledged it has terminated. */
    void forgetStopAcknowledgement(long nowNanos) {
        stopAcknowledged = false;
        nextStopNanos = nowNanos;
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

    void onStopResponse(boolean accepted, long nowNanos) {
        stopInFlight = false;
        nextStopNanos = nowNanos + STOP_RETRY_DELAY.toNanos();
        if (accepted) {
            stopAcknowledged = true;
            stopAcknowledgedNanos = nowNanos;
        }
    }

    /**
     * Has the stop sent again if the run is still reported after the stop grace period and the retry delay have passed.
     */
    void resendStopIfIneffective(Duration grace, long nowNanos) {
        if (stopAcknowledged
                && nowNanos - stopAcknowledgedNanos
                        > grace.plus(STOP_RETRY_DELAY).toNanos()) {
            stopAcknowledged = false;
        }
    }

    /** Returns whether a stop was acknowledged and its grace period had passed when a poll was sent. */
    boolean wasStopCompleteBy(Duration grace, long sentNanos) {
        return stopAcknowledged && sentNanos - stopAcknowledgedNanos >= grace.toNanos();
    }

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

    /** Returns the usage as of the last poll response. */
    RunUsage toUsage() {
        return new RunUsage(
                activeRun.run(),
                load,
                Math.max(0, acknowledgedSpeedPercent),
                progressPercent,
                lastProgressNanos,
                throttledSinceNanos,
                startNanos);
    }

    void confirm(long nowNanos) {
        if (stage != Stage.CONFIRMED) {
            stage = Stage.CONFIRMED;
            confirmedNanos = nowNanos;
        }
    }

    /** Assumes that the run may have started, until the host shows its state, and has it stopped. */
    void markStartUnanswered() {
        stage = Stage.START_UNANSWERED;
        stopRequested = true;
    }

    void onReportedRunning(HostResponse.ReportedRun reported, long nowNanos) {
        confirm(nowNanos);
        reportedRunning = true;
        provenHarmless |= nowNanos - startNanos >= HARMLESS_AFTER.toNanos();
        if (!reported.checkpoint().isEmpty()) {
            checkpoint = reported.checkpoint();
        }
        if (reported.progressPercent() > progressPercent) {
            lastProgressNanos = nowNanos;
        }
        progressPercent = reported.progressPercent();
        load = reported.load();
    }

    /** Returns the time since the start, or empty if the run was interrupted, resumed or throttled. */
    Optional<Duration> uninterruptedRunTime(long nowNanos) {
        return uninterrupted ? Optional.of(Duration.ofNanos(nowNanos - startNanos)) : Optional.empty();
    }

    /** Returns the status, for logs only. */
    TrackedRunStatus status() {
        return new TrackedRunStatus(
                activeRun.run(), stage.name(), stage == Stage.CONFIRMED, stopRequested, isTerminationFound());
    }
}
