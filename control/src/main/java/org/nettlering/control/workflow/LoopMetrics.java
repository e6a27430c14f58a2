package org.nettlering.control.workflow;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.runtime.log.EventLogger;

/**
 * Measures where the time goes between the acceptance of a job and the answers of the hosts that run it.
 *
 * <p>Tells apart a loop that is slow, a lock that is fought over, a log that is slow, a timer thread that is late, and hosts or
 * connections that do not answer. Decides nothing. Thread-safe.
 */
public final class LoopMetrics {
    private static final EventLogger LOG = EventLogger.of(LoopMetrics.class);

    /** The clock. */
    private final TimeSource time;

    /** The histograms of the loop. */
    private final LatencyHistograms histograms;

    /** What is on its way to hosts, and what came of it. */
    private final CommandMetrics commandMetrics;

    /** When each start was logged whose order has not gone out, by the monotonic clock. */
    private final Map<RunId, Long> unsentStartNanos = new ConcurrentHashMap<>();

    /** When the jobs were accepted whose first starts are in the batch that is on its way, in milliseconds since 1970. */
    private volatile List<Long> firstStartAcceptedMillis = List.of();

    /** When that batch was proposed, by the monotonic clock. */
    private volatile long proposedNanos;

    /** When the timer is due, by the monotonic clock. */
    private volatile long timerDueNanos;

    /**
     * Registers the measures of a process.
     *
     * @param registry where to register them, not null
     * @param time the clock, not null
     * @return the measures, never null
     */
    public static LoopMetrics registerIn(PrometheusRegistry registry, TimeSource time) {
        return new LoopMetrics(registry, time);
    }

    /**
     * Returns measures that nobody reads but the log.
     *
     * @param time the clock, not null
     * @return new measures, never null
     */
    public static LoopMetrics unexported(TimeSource time) {
        return new LoopMetrics(new PrometheusRegistry(), time);
    }

    private LoopMetrics(PrometheusRegistry registry, TimeSource time) {
        this.time = time;
        histograms = LatencyHistograms.registerIn(registry);
        commandMetrics = CommandMetrics.registerIn(registry);
    }

    /**
     * Takes note that someone had to wait for the lock of the jobs.
     *
     * @param nanos how long, in nanoseconds
     */
    public void recordLockWait(long nanos) {
        histograms.lockWait().observe(nanos);
    }

    /** Takes note that the timer was set. */
    void timerScheduled(Duration delay) {
        timerDueNanos = time.nanoTime() + delay.toNanos();
    }

    /** Takes note that the timer runs. */
    void timerFired() {
        histograms.timerDelay().observe(time.nanoTime() - timerDueNanos);
    }

    /** Takes note that a run of the loop has ended. */
    void recordLoopRun(long startNanos) {
        histograms.loopRun().observe(time.nanoTime() - startNanos);
    }

    /** Returns when a plan begins, by the monotonic clock, for {@link #recordPlan}. */
    long planStartNanos() {
        return time.nanoTime();
    }

    /** Takes note that a plan of starts is made. */
    void recordPlan(long startNanos) {
        histograms.plan().observe(time.nanoTime() - startNanos);
    }

    /** Takes note that a new leadership begins. */
    void resetForNewTerm() {
        unsentStartNanos.clear();
        firstStartAcceptedMillis = List.of();
    }

    /** Takes note of the next batch, before it is logged and applied. */
    void batchProposed(WorkflowState state, List<WorkflowCommand> batch) {
        if (batch.isEmpty()) {
            return;
        }
        proposedNanos = time.nanoTime();
        Set<String> seenJobIds = new HashSet<>();
        List<Long> acceptedMillis = new ArrayList<>();
        for (WorkflowCommand command : batch) {
            if (command instanceof StartRun start && seenJobIds.add(jobId(start))) {
                state.job(jobId(start))
                        .filter(LoopMetrics::isAwaitingFirstStart)
                        .ifPresent(job -> acceptedMillis.add(job.acceptedMillis()));
            }
        }
        firstStartAcceptedMillis = List.copyOf(acceptedMillis);
    }

    private static String jobId(StartRun start) {
        return start.run().run().task().jobId();
    }

    /** A job with times starts when it is due, however long ago it was accepted. */
    private static boolean isAwaitingFirstStart(Job job) {
        return job.phase() == JobPhase.QUEUED && !job.definition().recurrence().isPeriodic();
    }

    /** Takes note that the batch is logged and applied. */
    void batchCommitted(List<WorkflowCommand> batch) {
        long nowNanos = time.nanoTime();
        histograms.commit().observe(nowNanos - proposedNanos);
        long nowMillis = time.millis();
        firstStartAcceptedMillis.forEach(acceptedMillis ->
                histograms.firstStart().observe(TimeUnit.MILLISECONDS.toNanos(nowMillis - acceptedMillis)));
        firstStartAcceptedMillis = List.of();
        for (WorkflowCommand command : batch) {
            switch (command) {
                case StartRun start -> unsentStartNanos.put(start.run().run(), nowNanos);
                case RecordTermination end -> unsentStartNanos.remove(end.run());
                default -> {}
            }
        }
    }

    /** Takes note that an order goes out. */
    void commandSent(HostCommand command) {
        commandMetrics.commandSent(command);
        if (command instanceof HostCommand.Start start) {
            Long loggedNanos = unsentStartNanos.remove(start.run().run());
            if (loggedNanos != null) {
                histograms.startToSend().observe(time.nanoTime() - loggedNanos);
            }
        }
    }

    /** Takes note of what came of an order. */
    void commandFinished(HostCommand command, long sentNanos, HostResponse response) {
        commandMetrics.commandFinished(command, response, time.nanoTime() - sentNanos);
    }

    /** Returns what was measured since the last call. */
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

    /** Logs what was measured since the last report, if this member leads; begins anew in any case. */
    void logSummary(boolean leads, long term) {
        LoopSummary summary = summariseAndReset();
        if (leads) {
            LOG.log(WorkflowEvent.LOOP_SUMMARY, term, summary);
        }
    }
}
