package org.nettlering.control.workflow;

import io.prometheus.metrics.core.datapoints.DistributionDataPoint;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.DoubleSupplier;
import org.nettlering.control.workflow.RunTraces.StopDecision;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.runtime.log.EventLogger;

/**
 * Shows what the leader waits for: leases, polls, batches, starts and stops that take longer than they should.
 *
 * <p>For logs and metrics only; no decision depends on it. Thread-safe; an inspection takes place under the lock of the state
 * machine.
 */
final class LeaderDiagnostics {
    private static final double NANOS_PER_SECOND = 1e9;

    private static final EventLogger LOG = EventLogger.of(LeaderDiagnostics.class);

    private final TimeSource time;

    private final LoopActivity activity;

    private final RunTraces runs;

    private final LeaseTraces leases;

    private final LeaseInspection leaseInspection;

    private final RunInspection runInspection;

    private final DrainMetrics drains;

    private final PlacementInspection placementInspection = new PlacementInspection();

    /** Creates diagnostics and registers their metrics in a registry. */
    static LeaderDiagnostics registerIn(PrometheusRegistry registry, TimeSource time) {
        DistributionDataPoint cancelToEnd = LatencyHistograms.histogram(
                        "nettlering_leader_cancel_to_last_end_seconds",
                        "From the cancellation of a job to the committed termination of its last run.")
                .register(registry);
        LeaderDiagnostics diagnostics = new LeaderDiagnostics(time, cancelToEnd, DrainMetrics.registerIn(registry));
        diagnostics.registerGauges(registry);
        return diagnostics;
    }

    private LeaderDiagnostics(TimeSource time, DistributionDataPoint cancelToEnd, DrainMetrics drains) {
        this.time = time;
        this.drains = drains;
        activity = LoopActivity.create(time);
        runs = RunTraces.create(time, cancelToEnd);
        leases = LeaseTraces.create(time);
        leaseInspection = new LeaseInspection(leases);
        runInspection = new RunInspection(runs);
    }

    DrainMetrics drains() {
        return drains;
    }

    private void registerGauges(PrometheusRegistry registry) {
        gauge(
                registry,
                "nettlering_leader_oldest_unrenewed_lease_seconds",
                "Time since the last renewal of the lease that was not renewed for longest, of hosts with active runs.",
                () -> leaseInspection.oldestUnrenewedNanos(time.nanoTime()) / NANOS_PER_SECOND);
        gauge(
                registry,
                "nettlering_leader_oldest_poll_seconds",
                "Time for which the oldest poll has been in flight.",
                () -> leases.oldestPollNanos() / NANOS_PER_SECOND);
        gauge(
                registry,
                "nettlering_leader_oldest_batch_seconds",
                "Time for which the batch in flight has been.",
                () -> activity.batchAgeNanos() / NANOS_PER_SECOND);
        gauge(
                registry,
                "nettlering_leader_finished_job_runs",
                "Tracked runs of finished jobs.",
                runInspection::finishedJobRuns);
    }

    private static void gauge(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }

    LoopActivity activity() {
        return activity;
    }

    RunTraces runs() {
        return runs;
    }

    void resetForNewTerm() {
        runs.resetForNewTerm();
        leases.resetForNewTerm();
        activity.batchFinished();
        clearInspections();
    }

    private void clearInspections() {
        leaseInspection.clear();
        runInspection.clear();
        placementInspection.clear();
    }

    /** Records that the leader tracks a run from now on; called under the lock of the state machine. */
    void runTracked(RunId run, String hostId) {
        runs.runTracked(run, hostId);
        placementInspection.taskStarted(run.task().step());
    }

    void commandSent(HostCommand command) {
        runs.commandSent(command);
        leases.commandSent(command);
    }

    void commandFinished(HostCommand command, long sentNanos, HostResponse response) {
        runs.commandFinished(command, response);
        leases.commandFinished(command, sentNanos, response);
    }

    /** Logs the stops that were requested since the last call; not called under the lock of the state machine. */
    void logStops() {
        for (StopDecision stop : runs.drainStops()) {
            LOG.log(WorkflowEvent.STOP_REQUESTED, stop.run(), stop.hostId(), stop.reason());
        }
    }

    /**
     * Looks for whatever takes too long; called under the lock of the state machine.
     *
     * @return the actions that log what was found, to be run without the lock, never null
     */
    List<Runnable> inspect(WorkflowState state, WorkflowLeadership leadership, Duration lease) {
        long nowNanos = time.nanoTime();
        long term = leadership.term();
        List<Runnable> lines = new ArrayList<>(leaseInspection.inspect(term, leadership.sessions(), lease, nowNanos));
        lines.addAll(runInspection.inspect(state, term, leadership.sessions(), nowNanos));
        placementInspection.inspect(state, leadership, nowNanos).ifPresent(lines::add);
        return lines;
    }

    /** Forgets what was found, as this member does not lead; called under the lock of the state machine. */
    void doesNotLead() {
        activity.doesNotLead();
        clearInspections();
    }
}
