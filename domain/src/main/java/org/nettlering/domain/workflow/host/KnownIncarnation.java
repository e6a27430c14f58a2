package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.LongStream;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.Rejected;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.TrackedRun.Stage;

/**
 * What is known of the running incarnation of a host: whether it is alive, its lease, the terminations that it reported, and
 * the runs there that nobody tracks.
 *
 * <p>Discarded as a whole when the host starts again, as nothing of it holds for the next incarnation. Not thread-safe.
 */
final class KnownIncarnation {
    private final HostTimings timings;

    private final HostRuns runs;

    private final HostLiveness liveness;

    private final HostLease lease;

    private final OrphanedRuns orphanedRuns = new OrphanedRuns();

    private final TerminationTracker terminations = new TerminationTracker();

    KnownIncarnation(HostTimings timings, HostRuns runs, long nowNanos) {
        this(timings, runs, new HostLease(timings, nowNanos), nowNanos);
    }

    private KnownIncarnation(HostTimings timings, HostRuns runs, HostLease lease, long nowNanos) {
        this.timings = timings;
        this.runs = runs;
        this.lease = lease;
        liveness = new HostLiveness(nowNanos);
    }

    /** Returns what is known of the incarnation that follows this one: nothing but what may have been sent to it. */
    KnownIncarnation next(long nowNanos) {
        return new KnownIncarnation(timings, runs, lease.ofNextIncarnation(nowNanos), nowNanos);
    }

    HostLiveness liveness() {
        return liveness;
    }

    HostLease lease() {
        return lease;
    }

    TerminationTracker terminations() {
        return terminations;
    }

    /** Returns whether the host has to be polled even if no run is tracked. */
    boolean needsPoll() {
        return liveness.isUnresponsive()
                || terminations.hasUnsentAcknowledgement()
                || terminations.hasUncommitted()
                || !orphanedRuns.isEmpty();
    }

    /** Returns whether a poll may not wait at the host. */
    boolean needsImmediatePoll() {
        return liveness.isUnresponsive() || !orphanedRuns.isEmpty();
    }

    /** Returns whether the next poll waits for reported terminations to be committed. */
    boolean awaitsCommit() {
        return terminations.hasUncommitted() && !liveness.isUnresponsive();
    }

    /** Returns the monotonic times at which stops of runs that nobody tracks fall due. */
    LongStream nextStopNanos() {
        return orphanedRuns.nextStopNanos().stream().mapToLong(Long::longValue);
    }

    /** Returns the stops of runs that nobody tracks that are due, and treats them as sent. */
    List<HostCommand> takeDueStops(HostIncarnation host, long token, long nowNanos) {
        List<HostCommand> due = new ArrayList<>();
        orphanedRuns.takeDueStops(nowNanos).forEach(run -> due.add(new HostCommand.Stop(host, token, run)));
        return due;
    }

    /** Handles a heartbeat of the incarnation that a response has identified; returns false if it is not newer than the latest one. */
    boolean handleHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        if (!liveness.handleHeartbeat(heartbeat, nowNanos)) {
            return false;
        }
        lease.recordClockReading(heartbeat.clockMillis(), nowNanos);
        return true;
    }

    /** Handles a heartbeat that does not tell of which incarnation it is; returns false if it is not newer than the latest one. */
    boolean handleHeartbeatWithoutStart(HostHeartbeat heartbeat, long nowNanos) {
        if (!liveness.handleHeartbeat(heartbeat, nowNanos)) {
            return false;
        }
        lease.recordUnidentifiedReading(heartbeat.clockMillis(), nowNanos);
        return true;
    }

    /** Handles a heartbeat while no response has identified the incarnation; returns false if it is not newer than the latest one. */
    boolean handleUnidentifiedHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        lease.recordUnidentifiedContact(nowNanos);
        return liveness.handleHeartbeat(heartbeat, nowNanos);
    }

    /** Records what any response tells of the host itself. */
    void recordContact(HostResponse response, long nowNanos) {
        liveness.recordResponse(response, nowNanos);
        switch (response) {
            case Accepted accepted -> lease.recordUnidentifiedReading(accepted.clockMillis(), nowNanos);
            case PollResult pollResult -> lease.recordClockReading(pollResult.clockMillis(), nowNanos);
            default -> {}
        }
    }

    /** Handles the response to a start; returns the termination that it proves, if any. */
    List<RecordTermination> onStartResponse(RunId run, HostResponse response, long nowNanos) {
        TrackedRun tracked = runs.get(run);
        if (tracked == null || tracked.stage != Stage.START_SENT) {
            return List.of();
        }
        switch (response) {
            case Accepted accepted -> tracked.confirm(nowNanos);
            case NoResponse noResponse -> tracked.markStartUnanswered();
            case Rejected rejected -> liveness.recordRejection(nowNanos);
            default -> {}
        }
        return InferredTerminations.ofStartResponse(tracked, response, liveness.isUnresponsive());
    }

    /** Handles the response to a stop. */
    void onStopResponse(RunId run, HostResponse response, long nowNanos) {
        TrackedRun tracked = runs.get(run);
        if (tracked != null) {
            tracked.onStopResponse(response instanceof Accepted, nowNanos);
        } else if (response instanceof Accepted || response instanceof Rejected) {
            orphanedRuns.remove(run);
        }
    }

    /** Handles the response to a change of speed. */
    void onThrottleResponse(HostCommand.Throttle throttle, HostResponse response, long nowNanos) {
        TrackedRun tracked = runs.get(throttle.run());
        if (tracked != null) {
            tracked.onThrottleResponse(throttle.speedPercent(), response instanceof Accepted, nowNanos);
        }
    }

    /**
     * Handles the lists in a poll response; returns the reported terminations that are to be committed.
     *
     * @param fenced whether the host ignores from now on what was sent to earlier incarnations or by earlier leaders
     */
    List<RecordTermination> receive(
            HostCommand.Poll poll, PollResult pollResult, Set<RunId> reported, boolean fenced, long nowNanos) {
        if (fenced) {
            lease.markEarlierLeadersFenced();
        }
        terminations.recordAcknowledged(poll.acknowledgedThrough());
        pollResult.running().forEach(run -> handleReportedRun(run, nowNanos));
        orphanedRuns.retain(reported);
        return terminations.receive(pollResult.terminations(), runs);
    }

    private void handleReportedRun(ReportedRun reported, long nowNanos) {
        TrackedRun tracked = runs.get(reported.run());
        if (tracked == null) {
            orphanedRuns.add(reported.run(), nowNanos);
            return;
        }
        tracked.onReportedRunning(reported, nowNanos);
        tracked.resendStopIfIneffective(timings.stopGrace(), nowNanos);
    }

    /**
     * Returns the evidence that the lease has expired, once the host's own report of the terminations is no longer awaited.
     *
     * <p>An expired lease proves that no run is active, but not how it terminated: a host that still sends heartbeats
     * can report that, and is given the duration of another lease to do so, unless it has announced its shutdown.
     */
    Optional<TerminationEvidence> leaseExpiry(long nowNanos) {
        boolean mayReport = liveness.hasRecentHeartbeat(nowNanos) && !liveness.isShutdownAnnounced();
        Duration additionalMargin = mayReport ? timings.lease() : Duration.ZERO;
        return lease.hasExpired(additionalMargin, nowNanos)
                ? Optional.of(lease.expiryEvidence(
                        liveness.heartbeatAgeMillis(nowNanos), liveness.responseAgeMillis(nowNanos), nowNanos))
                : Optional.empty();
    }
}
