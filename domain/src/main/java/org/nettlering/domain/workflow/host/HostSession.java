package org.nettlering.domain.workflow.host;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.LongStream;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.host.HostResponse.Accepted;
import org.nettlering.domain.workflow.host.HostResponse.NoResponse;
import org.nettlering.domain.workflow.host.HostResponse.NotSent;
import org.nettlering.domain.workflow.host.HostResponse.PollResult;
import org.nettlering.domain.workflow.host.HostResponse.Rejected;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;
import org.nettlering.domain.workflow.host.HostResponse.Unhealthy;
import org.nettlering.domain.workflow.host.TrackedRun.Stage;

/**
 * One life of a host as the leader of one term follows it: which runs may be at work there, which orders it is owed, and
 * what its answers prove.
 *
 * <p>Guarantees that an end is reported only on proof that the run is over: the host listed the end; the host answered
 * a later look without the run, after a stop of it was answered or after the first order of this term had cut off those of
 * earlier leaders; another life of the host answers at its address; or the lease has certainly ended by the host's own
 * clock and the host is not heard of, or was not reached for another lease. An end that the host lists after another one was
 * inferred is reported too, and the host may not forget it before it is logged. Takes answers in any order. Not thread-safe.
 */
public final class HostSession {
    /** How long a look waits for an end at most. */
    private static final Duration POLL_WAIT = Duration.ofSeconds(1);

    /** How long a look waits for an end at most where the load is watched. */
    private static final Duration MONITORED_POLL_WAIT = Duration.ofMillis(450);

    /** How long to leave a host alone that did not answer or is not well. */
    private static final Duration UNRESPONSIVE_POLL_DELAY = Duration.ofMillis(300);

    /** The least time from one look to the next; one that waits for an end usually takes longer by itself. */
    private static final Duration MIN_POLL_INTERVAL = Duration.ofMillis(25);

    /** The least time from a look that does not wait to the next. */
    private static final Duration MIN_IMMEDIATE_POLL_INTERVAL = Duration.ofMillis(100);

    /** The host. */
    private final HostIncarnation host;

    /** The times that it keeps to. */
    private final HostTimings timings;

    /** The fencing token of this term. */
    private final long token;

    /** How the host is in touch. */
    private final HostLiveness liveness;

    /** The runs that may be at work. */
    private final Map<RunId, TrackedRun> runs = new LinkedHashMap<>();

    /** Runs at work there that should not be, and when a stop may be sent again. */
    private final Map<RunId, Long> orphanedRuns = new HashMap<>();

    /** The ends that the host listed. */
    private final TerminationTracker terminationTracker = new TerminationTracker();

    /** The lease of what runs there. */
    private final HostLease lease;

    /** Whether the host answered a look in this term. */
    private boolean pollSucceeded;

    /** Whether a look is on its way. */
    private boolean pollInFlight;

    /** When the next look may be sent, by the monotonic clock. */
    private long nextPollNanos;

    /** Whether the load of the runs is watched. */
    private boolean usageMonitored;

    /**
     * Begins to follow a host.
     *
     * @param host this life of the host, not null
     * @param timings the times that it keeps to, not null
     * @param token the fencing token of this term
     * @param nowNanos the monotonic time
     * @return a new session, never null
     */
    public static HostSession create(HostIncarnation host, HostTimings timings, long token, long nowNanos) {
        return new HostSession(host, timings, token, nowNanos);
    }

    private HostSession(HostIncarnation host, HostTimings timings, long token, long nowNanos) {
        this.host = host;
        this.timings = timings;
        this.token = token;
        liveness = new HostLiveness(nowNanos);
        lease = new HostLease(timings, nowNanos);
        nextPollNanos = nowNanos;
    }

    /**
     * Returns the host.
     *
     * @return this life of the host, never null
     */
    public HostIncarnation host() {
        return host;
    }

    /**
     * Returns the latest report of this term.
     *
     * @return the report, or empty if none came, never null
     */
    public Optional<HostHeartbeat> latestHeartbeat() {
        return liveness.latestHeartbeat();
    }

    /**
     * Tells whether new work may be given to the host.
     *
     * @param nowNanos the monotonic time
     * @return true if it reports, does not drain, has answered in this term, did not leave the last order unanswered and did
     *     not refuse work just now
     */
    public boolean acceptsRuns(long nowNanos) {
        return pollSucceeded && liveness.acceptsRuns(nowNanos);
    }

    /**
     * Tells whether the session has no purpose any more.
     *
     * @param nowNanos the monotonic time
     * @return true if no run may be at work and the host is gone, or was not heard of for long
     */
    public boolean isObsolete(long nowNanos) {
        return runs.isEmpty() && (isIncarnationTerminated(nowNanos) || liveness.isHeartbeatLongOverdue(nowNanos));
    }

    private boolean isIncarnationTerminated(long nowNanos) {
        return liveness.isIncarnationTerminated(pollInFlight, nowNanos);
    }

    /**
     * Returns the newest saved progress of a run.
     *
     * @param run the run, not null
     * @return the checkpoint, empty if none is known, never null
     */
    public String checkpointOf(RunId run) {
        TrackedRun tracked = runs.get(run);
        return tracked == null ? "" : tracked.checkpoint;
    }

    /**
     * Takes a report of the host.
     *
     * @param heartbeat the report, not null
     * @param nowNanos the monotonic time
     * @return false if it is older than one that was taken
     */
    public boolean handleHeartbeat(HostHeartbeat heartbeat, long nowNanos) {
        if (!liveness.handleHeartbeat(heartbeat, nowNanos)) {
            return false;
        }
        lease.recordClockReading(heartbeat.clockMillis(), nowNanos);
        return true;
    }

    /**
     * Notes that the host has said that it leaves.
     *
     * @param nowNanos the monotonic time
     */
    public void handleShutdownNotice(long nowNanos) {
        liveness.handleShutdownNotice(nowNanos);
    }

    /**
     * Follows a run that an earlier leader started.
     *
     * @param run the run, not null
     * @param throttled whether that leader may have told the host a pace for it, which is told anew then
     * @param nowNanos the monotonic time
     */
    public void trackInheritedRun(ActiveRun run, boolean throttled, long nowNanos) {
        TrackedRun tracked = new TrackedRun(run, "", "", Stage.INHERITED, nowNanos);
        if (throttled) {
            tracked.markSpeedUnknown(nowNanos);
        }
        runs.put(run.run(), tracked);
        lease.markInherited();
    }

    /**
     * Follows a run whose start was logged, and sends its order next.
     *
     * @param run the run, not null
     * @param taskSpecification what the task is to do, not null
     * @param ticket the permission of the queue's policy, empty if none is needed, not null
     * @param nowNanos the monotonic time
     */
    public void trackNewRun(ActiveRun run, String taskSpecification, String ticket, long nowNanos) {
        runs.put(run.run(), new TrackedRun(run, taskSpecification, ticket, Stage.START_PENDING, nowNanos));
    }

    /**
     * Has a run stopped.
     *
     * @param run the run; one that is not followed is ignored, not null
     */
    public void requestStop(RunId run) {
        TrackedRun tracked = runs.get(run);
        if (tracked != null) {
            tracked.stopRequested = true;
        }
    }

    /**
     * Sets the pace of a run.
     *
     * @param run the run; one that is not followed is ignored, not null
     * @param speedPercent the share of its speed, 0 to 100
     */
    public void setSpeed(RunId run, int speedPercent) {
        TrackedRun tracked = runs.get(run);
        if (tracked != null) {
            tracked.setDesiredSpeed(speedPercent);
        }
    }

    /**
     * Has the load of the runs watched more closely, or no longer.
     *
     * @param enabled true where runs that fill share the host with runs that serve
     */
    public void setUsageMonitored(boolean enabled) {
        usageMonitored = enabled;
    }

    /**
     * Returns what the last look told of the runs at work.
     *
     * @return the runs that were listed and whose end is not known, never null
     */
    public List<RunUsage> runUsages() {
        return runs.values().stream()
                .filter(tracked -> tracked.reportedRunning && !tracked.terminationFound && !tracked.stopRequested)
                .map(TrackedRun::toUsage)
                .toList();
    }

    /**
     * Stops following a run: an end of it is in the log.
     *
     * @param run the run, not null
     * @param status the end that is in the log, not null
     * @return true if the run was followed here
     */
    public boolean onTerminationCommitted(RunId run, TerminalStatus status) {
        terminationTracker.recordCommitted(run, status);
        return runs.remove(run) != null;
    }

    /**
     * Returns the orders that are due, and takes them as sent.
     *
     * @param nowNanos the monotonic time
     * @return the orders in the order in which to send them, never null
     */
    public List<HostCommand> takeDueCommands(long nowNanos) {
        List<HostCommand> due = new ArrayList<>();
        if (isIncarnationTerminated(nowNanos)) {
            return due;
        }
        for (TrackedRun tracked : runs.values()) {
            tracked.takeDueCommand(token, lease, liveness.isUnresponsive(), nowNanos)
                    .ifPresent(due::add);
        }
        orphanedRuns.replaceAll((run, next) -> {
            if (nowNanos - next < 0) {
                return next;
            }
            due.add(new HostCommand.Stop(host, token, run));
            return nowNanos + TrackedRun.STOP_RETRY_DELAY.toNanos();
        });
        if (isPollDue(nowNanos)) {
            due.add(createPoll(nowNanos));
        }
        return due;
    }

    /**
     * Returns when the host is next to be looked at although nothing came from it and nothing was wanted of it until then.
     *
     * <p>Leases that lapse and hosts that are not heard of are left out: they are found soon enough at regular intervals.
     *
     * @param nowNanos the monotonic time
     * @return the earliest time at which an order falls due or this life ends, empty if neither will, never null
     */
    public OptionalLong nextDueNanos(long nowNanos) {
        LongStream.Builder delaysNanos = LongStream.builder();
        if (!isIncarnationTerminated(nowNanos)) {
            liveness.terminationNanos()
                    .ifPresent(incarnationTerminated -> delaysNanos.add(incarnationTerminated - nowNanos));
        }
        if (needsPoll()) {
            delaysNanos.add(nextPollNanos - nowNanos);
        }
        orphanedRuns.values().forEach(next -> delaysNanos.add(next - nowNanos));
        runs.values().forEach(run -> run.nextStopNanos().ifPresent(next -> delaysNanos.add(next - nowNanos)));
        OptionalLong shortestDelayNanos = delaysNanos.build().min();
        return shortestDelayNanos.isEmpty() || isIncarnationTerminated(nowNanos)
                ? OptionalLong.empty()
                : OptionalLong.of(nowNanos + shortestDelayNanos.getAsLong());
    }

    private boolean isPollDue(long nowNanos) {
        return needsPoll() && nowNanos - nextPollNanos >= 0;
    }

    private boolean needsPoll() {
        boolean needed = !pollSucceeded
                || liveness.isUnresponsive()
                || !runs.isEmpty()
                || terminationTracker.hasUnsentAcknowledgement()
                || !orphanedRuns.isEmpty();
        boolean awaitsCommit = terminationTracker.hasUncommitted() && !liveness.isUnresponsive();
        return needed && !awaitsCommit && !pollInFlight;
    }

    private HostCommand createPoll(long nowNanos) {
        pollInFlight = true;
        boolean immediate = !pollSucceeded
                || liveness.isUnresponsive()
                || runs.isEmpty()
                || !orphanedRuns.isEmpty()
                || hasUnansweredStart();
        long maxWaitMillis = immediate ? 0 : (usageMonitored ? MONITORED_POLL_WAIT : POLL_WAIT).toMillis();
        boolean renewsLease = !runs.isEmpty() && !liveness.isUnresponsive();
        return new HostCommand.Poll(
                host,
                token,
                renewsLease ? lease.renew(nowNanos) : 0,
                terminationTracker.committedThrough(),
                maxWaitMillis);
    }

    /** Tells whether a run's fate hangs on the next look. */
    private boolean hasUnansweredStart() {
        return runs.values().stream().anyMatch(tracked -> tracked.stage == Stage.START_UNANSWERED);
    }

    /**
     * Takes what came of an order.
     *
     * @param command the order, not null
     * @param sentNanos when it was sent, by the monotonic clock
     * @param response what came of it, not null
     * @param nowNanos the monotonic time
     * @return the ends that the answer proves, to be logged, never null
     */
    public List<RecordTermination> handleResponse(
            HostCommand command, long sentNanos, HostResponse response, long nowNanos) {
        recordContact(response, nowNanos);
        return switch (command) {
            case HostCommand.Start start -> onStartResponse(start, response, nowNanos);
            case HostCommand.Stop stop -> onStopResponse(stop, response, nowNanos);
            case HostCommand.Poll poll -> onPollResponse(poll, sentNanos, response, nowNanos);
            case HostCommand.Throttle throttle -> onThrottleResponse(throttle, response, nowNanos);
        };
    }

    private List<RecordTermination> onThrottleResponse(
            HostCommand.Throttle throttle, HostResponse response, long nowNanos) {
        TrackedRun tracked = runs.get(throttle.run());
        if (tracked != null) {
            tracked.onThrottleResponse(throttle.speedPercent(), response instanceof Accepted, nowNanos);
        }
        return List.of();
    }

    private void recordContact(HostResponse response, long nowNanos) {
        liveness.recordResponse(response, nowNanos);
        switch (response) {
            case Accepted accepted -> lease.recordClockReading(accepted.clockMillis(), nowNanos);
            case PollResult pollResult -> lease.recordClockReading(pollResult.clockMillis(), nowNanos);
            default -> {}
        }
    }

    private List<RecordTermination> onStartResponse(HostCommand.Start start, HostResponse response, long nowNanos) {
        TrackedRun tracked = runs.get(start.run().run());
        if (tracked == null || tracked.stage != Stage.START_SENT) {
            return List.of();
        }
        switch (response) {
            case Accepted accepted -> tracked.confirm(nowNanos);
            case NoResponse noResponse -> markStartUnanswered(tracked, nowNanos);
            case NotSent notSent -> {
                return List.of(createEndRun(
                        tracked,
                        TerminalStatus.NOT_BEGUN,
                        new TerminationEvidence.NotSent(tracked.stopRequested, liveness.isUnresponsive())));
            }
            case Rejected rejected -> {
                liveness.recordRejection(nowNanos);
                return List.of(createEndRun(
                        tracked, TerminalStatus.NOT_BEGUN, new TerminationEvidence.StartRefused(rejected.reason())));
            }
            case Unhealthy unhealthy -> {
                return List.of(createEndRun(tracked, TerminalStatus.NOT_BEGUN, new TerminationEvidence.HostUnwell()));
            }
            default -> {}
        }
        return List.of();
    }

    /** Treats a run as one that may have begun, until the host shows what became of it. */
    private void markStartUnanswered(TrackedRun tracked, long nowNanos) {
        tracked.stage = Stage.START_UNANSWERED;
        tracked.stopRequested = true;
        nextPollNanos = nowNanos;
    }

    private List<RecordTermination> onStopResponse(HostCommand.Stop stop, HostResponse response, long nowNanos) {
        TrackedRun tracked = runs.get(stop.run());
        boolean done = response instanceof Accepted || response instanceof Rejected;
        if (tracked == null) {
            if (done) {
                orphanedRuns.remove(stop.run());
            }
            return List.of();
        }
        tracked.stopAcknowledged(response instanceof Accepted, nowNanos);
        return List.of();
    }

    private List<RecordTermination> onPollResponse(
            HostCommand.Poll poll, long sentNanos, HostResponse response, long nowNanos) {
        pollInFlight = false;
        if (!(response instanceof PollResult pollResult)) {
            nextPollNanos = nowNanos + UNRESPONSIVE_POLL_DELAY.toNanos();
            return List.of();
        }
        pollSucceeded = true;
        lease.markEarlierLeadersFenced();
        Duration pause = poll.maxWaitMillis() > 0 ? MIN_POLL_INTERVAL : MIN_IMMEDIATE_POLL_INTERVAL;
        nextPollNanos = Math.max(nowNanos, sentNanos + pause.toNanos());
        terminationTracker.recordAcknowledged(poll.acknowledgedThrough());
        Set<RunId> reported = new HashSet<>();
        List<RecordTermination> terminations = new ArrayList<>();
        for (ReportedRun each : pollResult.running()) {
            reported.add(each.run());
            handleReportedRun(each, nowNanos);
        }
        orphanedRuns.keySet().retainAll(reported);
        for (ReportedTermination each : pollResult.terminations()) {
            reported.add(each.run());
            handleReportedTermination(each, terminations);
        }
        for (TrackedRun tracked : runs.values()) {
            if (!tracked.terminationFound && !reported.contains(tracked.activeRun.run())) {
                handleUnreportedRun(tracked, sentNanos, terminations);
            }
        }
        return terminations;
    }

    private void handleReportedTermination(ReportedTermination reported, List<RecordTermination> terminations) {
        terminationTracker.recordReported(reported.sequence());
        TrackedRun tracked = runs.get(reported.run());
        if (tracked == null) {
            handleUntrackedTermination(reported, terminations);
            return;
        }
        terminationTracker.uncommitted(reported);
        if (tracked.isTerminationReported()) {
            return;
        }
        tracked.recordTermination(new TerminationEvidence.Listed());
        String checkpoint = reported.checkpoint().isEmpty() ? tracked.checkpoint : reported.checkpoint();
        terminations.add(new RecordTermination(reported.run(), reported.status(), checkpoint));
    }

    /** Has an end logged that may contradict what was inferred of the run; until then the host must not forget it. */
    private void handleUntrackedTermination(ReportedTermination reported, List<RecordTermination> terminations) {
        if (reported.status() == TerminalStatus.DONE || reported.status() == TerminalStatus.FAILED) {
            terminationTracker.uncommitted(reported);
            terminations.add(new RecordTermination(reported.run(), reported.status(), reported.checkpoint()));
        }
    }

    private void handleReportedRun(ReportedRun reported, long nowNanos) {
        TrackedRun tracked = runs.get(reported.run());
        if (tracked == null) {
            orphanedRuns.putIfAbsent(reported.run(), nowNanos);
            return;
        }
        tracked.onReportedRunning(reported, nowNanos);
        tracked.resendStopIfIneffective(timings.stopGrace(), nowNanos);
    }

    /** Decides what it means that a look shows a run neither at work nor ended. */
    private void handleUnreportedRun(TrackedRun tracked, long sentNanos, List<RecordTermination> terminations) {
        boolean stoppedBefore = tracked.wasStopCompleteBy(timings.stopGrace(), sentNanos);
        switch (tracked.stage) {
            case INHERITED ->
                terminations.add(
                        createEndRun(tracked, TerminalStatus.NOT_BEGUN, new TerminationEvidence.NeverListed()));
            case START_PENDING, START_SENT -> {}
            case START_UNANSWERED -> {
                if (stoppedBefore) {
                    terminations.add(
                            createEndRun(tracked, TerminalStatus.NOT_BEGUN, new TerminationEvidence.StoppedAndGone()));
                }
            }
            case CONFIRMED -> {
                tracked.stopRequested |= sentNanos - tracked.confirmedNanos >= 0;
                if (stoppedBefore) {
                    terminations.add(
                            createEndRun(tracked, TerminalStatus.HOST_LOST, new TerminationEvidence.StoppedAndGone()));
                }
            }
        }
    }

    private static RecordTermination createEndRun(
            TrackedRun tracked, TerminalStatus status, TerminationEvidence evidence) {
        tracked.recordTermination(evidence);
        return new RecordTermination(tracked.activeRun.run(), status, tracked.checkpoint);
    }

    /**
     * Returns the ends of runs that certainly are over although the host did not say so.
     *
     * @param nowNanos the monotonic time
     * @return the ends, to be logged, never null
     */
    public List<RecordTermination> inferTerminations(long nowNanos) {
        List<RecordTermination> terminations = new ArrayList<>();
        boolean incarnationTerminated = isIncarnationTerminated(nowNanos);
        boolean runsLost = areRunsLost(nowNanos);
        for (TrackedRun tracked : runs.values()) {
            if (tracked.terminationFound) {
                continue;
            }
            if (tracked.stage == Stage.START_PENDING) {
                // The lease of earlier runs says nothing of a run whose order has not gone out.
                if (tracked.stopRequested || incarnationTerminated || liveness.isUnresponsive()) {
                    TerminationEvidence notSent =
                            new TerminationEvidence.NotSent(tracked.stopRequested, liveness.isUnresponsive());
                    terminations.add(createEndRun(
                            tracked,
                            TerminalStatus.NOT_BEGUN,
                            incarnationTerminated ? liveness.terminationEvidence() : notSent));
                }
            } else if (incarnationTerminated || runsLost) {
                terminations.add(createEndRun(
                        tracked,
                        TerminalStatus.HOST_LOST,
                        incarnationTerminated ? liveness.terminationEvidence() : leaseExpiryEvidence(nowNanos)));
            }
        }
        return terminations;
    }

    /**
     * Tells whether the lease is over and the host's own list is not to be waited for any longer.
     *
     * <p>A lapsed lease shows that nothing works any more, not how it ended: a host that is heard of still has the ends.
     */
    private boolean areRunsLost(long nowNanos) {
        if (runs.isEmpty()) {
            return false;
        }
        Duration additionalMargin = liveness.hasRecentHeartbeat(nowNanos) ? timings.lease() : Duration.ZERO;
        return lease.hasExpired(additionalMargin, nowNanos);
    }

    private TerminationEvidence leaseExpiryEvidence(long nowNanos) {
        return lease.expiryEvidence(
                liveness.heartbeatAgeMillis(nowNanos), liveness.responseAgeMillis(nowNanos), nowNanos);
    }

    /**
     * Returns what showed the end of a run.
     *
     * @param run the run, not null
     * @return the proof, or empty if no end was found or the run is not followed any more, never null
     */
    public Optional<TerminationEvidence> evidenceOf(RunId run) {
        TrackedRun tracked = runs.get(run);
        return tracked == null ? Optional.empty() : Optional.ofNullable(tracked.evidence);
    }
}
