package org.nettlering.control.workflow;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;

/**
 * What the leader of one term decided and sent for each run that it tracks, and when.
 *
 * <p>For logs and metrics only; no decision depends on it. Thread-safe.
 */
final class RunTraces {
    private static final double NANOS_PER_SECOND = 1e9;

    private final TimeSource time;

    /** The time from the cancellation of a job until its last run ended, in seconds. */
    private final DistributionDataPoint cancelToEnd;

    private final Map<RunId, Trace> traces = new HashMap<>();

    /** The number of tracked runs by job id. */
    private final Map<String, Integer> runsByJob = new HashMap<>();

    /** The finished jobs that still have tracked runs, by job id. */
    private final Map<String, JobEnd> jobEnds = new HashMap<>();

    /** The stops that are not logged yet. */
    private List<StopDecision> unloggedStops = new ArrayList<>();

    static RunTraces create(TimeSource time, DistributionDataPoint cancelToEnd) {
        return new RunTraces(time, cancelToEnd);
    }

    private RunTraces(TimeSource time, DistributionDataPoint cancelToEnd) {
        this.time = time;
        this.cancelToEnd = cancelToEnd;
    }

    /**
     * A decision to stop a run.
     *
     * @param run the run, not null
     * @param hostId the incarnation id of its host, not null
     * @param reason the reason, not null
     */
    record StopDecision(RunId run, String hostId, StopReason reason) {}

    /**
     * The commands for a run.
     *
     * @param trackedNanos since when this leader has tracked the run, by the monotonic clock
     * @param start the start command, or null if this leader sent none
     * @param stop the latest stop command, or null if none was sent
     * @param stopReason why the run was first stopped, or null if it was not
     */
    record Commands(
            long trackedNanos,
            @Nullable CommandTrace start,
            @Nullable CommandTrace stop,
            @Nullable StopReason stopReason) {}

    private record JobEnd(long nanos, JobPhase phase) {}

    private static final class Trace {
        private final String hostId;

        private final long trackedNanos;

        private @Nullable CommandTrace start;

        private @Nullable CommandTrace stop;

        private @Nullable StopReason stopReason;

        private Trace(String hostId, long trackedNanos) {
            this.hostId = hostId;
            this.trackedNanos = trackedNanos;
        }
    }

    synchronized Optional<Commands> commandsFor(RunId run) {
        return Optional.ofNullable(traces.get(run))
                .map(trace -> new Commands(trace.trackedNanos, trace.start, trace.stop, trace.stopReason));
    }

    /** Returns when this leader saw a job finish, by the monotonic clock; empty if it did not. */
    synchronized OptionalLong jobEndNanos(String jobId) {
        JobEnd end = jobEnds.get(jobId);
        return end == null ? OptionalLong.empty() : OptionalLong.of(end.nanos);
    }

    synchronized void resetForNewTerm() {
        traces.clear();
        runsByJob.clear();
        jobEnds.clear();
    }

    /** Starts to trace a run that the leader tracks from now on. */
    synchronized void runTracked(RunId run, String hostId) {
        if (traces.putIfAbsent(run, new Trace(hostId, time.nanoTime())) == null) {
            runsByJob.merge(run.task().jobId(), 1, Integer::sum);
        }
    }

    /** Stops tracing a run whose termination is committed. */
    synchronized void runEnded(RunId run) {
        if (traces.remove(run) == null) {
            return;
        }
        String jobId = run.task().jobId();
        Integer remaining = runsByJob.computeIfPresent(jobId, (id, count) -> count == 1 ? null : count - 1);
        JobEnd end = remaining == null ? jobEnds.remove(jobId) : null;
        if (end != null && end.phase == JobPhase.CANCELLED) {
            cancelToEnd.observe((time.nanoTime() - end.nanos) / NANOS_PER_SECOND);
        }
    }

    /** Records that a job finished; ignored if none of its runs is tracked or its end is known already. */
    synchronized void jobFinished(String jobId, JobPhase phase) {
        if (runsByJob.containsKey(jobId)) {
            jobEnds.putIfAbsent(jobId, new JobEnd(time.nanoTime(), phase));
        }
    }

    /** Records the decision to stop a run; only the first decision for a tracked run counts. */
    synchronized void stopRequested(RunId run, StopReason reason) {
        Trace trace = traces.get(run);
        if (trace != null && trace.stopReason == null) {
            trace.stopReason = reason;
            unloggedStops.add(new StopDecision(run, trace.hostId, reason));
        }
    }

    synchronized void commandSent(HostCommand command) {
        switch (command) {
            case HostCommand.Start start -> startSent(start);
            case HostCommand.Stop stop -> stopSent(stop);
            case HostCommand.Poll poll -> {}
            case HostCommand.Throttle throttle -> {}
        }
    }

    private void startSent(HostCommand.Start start) {
        Trace trace = traces.get(start.run().run());
        if (trace != null) {
            trace.start = CommandTrace.sentAt(time.nanoTime());
        }
    }

    private void stopSent(HostCommand.Stop stop) {
        Trace trace = traces.get(stop.run());
        if (trace == null) {
            unloggedStops.add(new StopDecision(stop.run(), stop.host().id(), StopReason.NOT_TRACKED));
            return;
        }
        trace.stop = CommandTrace.sentAt(time.nanoTime());
        // Every other reason is recorded before the command is sent.
        stopRequested(stop.run(), StopReason.NOT_REPORTED);
    }

    synchronized void commandFinished(HostCommand command, HostResponse response) {
        switch (command) {
            case HostCommand.Start start -> startFinished(start, response);
            case HostCommand.Stop stop -> stopFinished(stop, response);
            case HostCommand.Poll poll -> {}
            case HostCommand.Throttle throttle -> {}
        }
    }

    private void startFinished(HostCommand.Start start, HostResponse response) {
        Trace trace = traces.get(start.run().run());
        if (trace == null || trace.start == null) {
            return;
        }
        trace.start = trace.start.finished(CommandOutcome.of(response), time.nanoTime());
        if (response instanceof HostResponse.NoResponse) {
            stopRequested(start.run().run(), StopReason.UNANSWERED_START);
        }
    }

    private void stopFinished(HostCommand.Stop stop, HostResponse response) {
        Trace trace = traces.get(stop.run());
        if (trace != null && trace.stop != null) {
            trace.stop = trace.stop.finished(CommandOutcome.of(response), time.nanoTime());
        }
    }

    /** Returns the stops that were requested since the last call. */
    synchronized List<StopDecision> drainStops() {
        if (unloggedStops.isEmpty()) {
            return List.of();
        }
        List<StopDecision> drained = unloggedStops;
        unloggedStops = new ArrayList<>();
        return drained;
    }
}
