package org.nettlering.control.workflow;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.runtime.log.EventLogger;

/**
 * Measures where time is spent between the acceptance of a job and the responses of the hosts that run it.
 *
 * <p>Distinguishes these causes of delay:
 *
 * <ul>
 *   <li>a slow loop,
 *   <li>contention for the lock of the state machine,
 *   <li>a slow log,
 *   <li>a late timer thread,
 *   <li>hosts or connections that do not respond.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class LoopMetrics {
    private static final EventLogger LOG = EventLogger.of(LoopMetrics.class);

    private final TimeSource time;

    private final LatencyHistograms histograms;

    private final CommandMetrics commandMetrics;

    private final LeaderDiagnostics diagnostics;

    /** The failures of parts of the loop. */
    private final Counter failureCounter;

    /** The commands and batches without an outcome within their deadline. */
    private final Counter overdueCounter;

    /** The copies of straggling runs that were started. */
    private final Counter copyCounter;

    /** The monotonic time at which each start was committed whose command has not been sent yet. */
    private final Map<RunId, Long> unsentStartNanos = new ConcurrentHashMap<>();

    /** The monotonic time at which that batch was proposed. */
    private volatile long proposedNanos;

    private volatile long timerDueNanos;

    /**
     * Creates metrics and registers them in a registry.
     *
     * @param registry the registry of the process, not null
     * @param time the clock, not null
     * @return new metrics, never null
     */
    public static LoopMetrics registerIn(PrometheusRegistry registry, TimeSource time) {
        return new LoopMetrics(registry, time);
    }

    /**
     * Creates metrics that are only logged and not exported.
     *
     * @param time the clock, not null
     * @return new metrics, never null
     */
    public static LoopMetrics unexported(TimeSource time) {
        return new LoopMetrics(new PrometheusRegistry(), time);
    }

    private LoopMetrics(PrometheusRegistry registry, TimeSource time) {
        this.time = time;
        histograms = LatencyHistograms.registerIn(registry);
        commandMetrics = CommandMetrics.registerIn(registry);
        diagnostics = LeaderDiagnostics.registerIn(registry, time);
        failureCounter = Counter.builder()
                .name("nettlering_leader_failures_total")
                .help("Parts of the leader's loop that failed.")
                .labelNames("part")
                .register(registry);
        copyCounter = Counter.builder()
                .name("nettlering_leader_copies_total")
                .help("Copies of straggling runs that were started.")
                .register(registry);
        overdueCounter = Counter.builder()
                .name("nettlering_leader_overdue_outcomes_total")
                .help("Commands and batches without an outcome within their deadline.")
                .labelNames("part")
                .register(registry);
    }

    LeaderDiagnostics diagnostics() {
        return diagnostics;
    }

    /**
     * Records a wait for the lock of the state machine.
     *
     * @param nanos the time waited, in nanoseconds
     */
    public void recordLockWait(long nanos) {
        histograms.lockWait().observe(nanos);
    }

    void timerScheduled(Duration delay) {
        diagnostics.activity().tickEnded();
        timerDueNanos = time.nanoTime() + delay.toNanos();
    }

    /** Records by how much the timer is late. */
    void timerFired() {
        diagnostics.activity().tickStarted();
        histograms.timerDelay().observe(time.nanoTime() - timerDueNanos);
    }

    /** Returns the monotonic time to pass to {@link #recordLoopRun} after the iteration. */
    long loopRunStartNanos() {
        diagnostics.activity().iterationStarted();
        return time.nanoTime();
    }

    void recordLoopRun(long startNanos) {
        diagnostics.activity().iterationEnded();
        histograms.loopRun().observe(time.nanoTime() - startNanos);
        diagnostics.logStops();
    }

    /** Returns the monotonic time to pass to {@link #recordPlan} after planning. */
    long planStartNanos() {
        return time.nanoTime();
    }

    void recordPlan(long startNanos) {
        histograms.plan().observe(time.nanoTime() - startNanos);
    }

    void resetForNewTerm() {
        unsentStartNanos.clear();
        diagnostics.resetForNewTerm();
    }

    /** Records the next batch before it is proposed to the log. */
    void batchProposed(List<WorkflowCommand> batch) {
        if (batch.isEmpty()) {
            return;
        }
        diagnostics.activity().batchProposed(batch.size());
        proposedNanos = time.nanoTime();
    }

    /** Records that hosts have shown for the first time that jobs have begun. */
    void jobsBegan(List<Job> jobs) {
        long nowMillis = time.millis();
        jobs.forEach(job ->
                histograms.firstStart().observe(TimeUnit.MILLISECONDS.toNanos(nowMillis - job.acceptedMillis())));
    }

    /** Records that the batch is committed and applied. */
    void batchCommitted(List<WorkflowCommand> batch) {
        diagnostics.activity().batchFinished();
        long nowNanos = time.nanoTime();
        histograms.commit().observe(nowNanos - proposedNanos);
        for (WorkflowCommand command : batch) {
            switch (command) {
                case StartRun start -> unsentStartNanos.put(start.run().run(), nowNanos);
                case RecordTermination termination -> {
                    unsentStartNanos.remove(termination.run());
                    diagnostics.runs().runEnded(termination.run());
                }
                default -> {}
            }
        }
    }

    /** Records that the commit of the batch failed or that its outcome is unknown. */
    void batchFailed() {
        diagnostics.activity().batchFinished();
    }

    void partFailed(LoopPart part) {
        failureCounter.labelValues(part.label()).inc();
    }

    void copyStarted() {
        copyCounter.inc();
    }

    void outcomeOverdue(LoopPart part) {
        overdueCounter.labelValues(part.label()).inc();
    }

    void commandSent(HostCommand command) {
        diagnostics.commandSent(command);
        commandMetrics.commandSent(command);
        if (command instanceof HostCommand.Start start) {
            Long committedNanos = unsentStartNanos.remove(start.run().run());
            if (committedNanos != null) {
                histograms.startToSend().observe(time.nanoTime() - committedNanos);
            }
        }
    }

    void commandFinished(HostCommand command, long sentNanos, HostResponse response) {
        diagnostics.commandFinished(command, sentNanos, response);
        commandMetrics.commandFinished(command, response, time.nanoTime() - sentNanos);
    }

    /** Returns a summary of the measurements since the last call. */
    LoopSummary summariseAndReset() {
        return new LoopSummary(
                histograms.timerDelay().summariseAndReset(),
                histograms.loopRun().summariseAndReset(),
                histograms.plan().summariseAndReset(),
                histograms.lockWait().summariseAndReset(),
                histograms.commit().summariseAndReset(),
                histograms.firstStart().summariseAndReset(),
                histograms.startToSend().summariseAndReset(),
                commandMetrics.summariseAndReset(CommandKind.START),
                commandMetrics.summariseAndReset(CommandKind.LOOK),
                commandMetrics.inFlight(),
                commandMetrics.drainOutcomes());
    }

    /** Logs a summary of the measurements since the last call if this member leads; resets them in either case. */
    void logSummary(boolean leads, long term) {
        LoopSummary summary = summariseAndReset();
        if (leads) {
            LOG.logWithFields(WorkflowEvent.LOOP_SUMMARY, summary.toFields(), term);
        }
    }
}
