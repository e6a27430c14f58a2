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
public final class LoopMeasures {
    private static final EventLogger LOG = EventLogger.of(LoopMeasures.class);

    /** The clock. */
    private final TimeSource time;

    /** The histograms of the loop. */
    private final LoopTimes times;

    /** What is on its way to hosts, and what came of it. */
    private final OrderMeasures orders;

    /** When each start was logged whose order has not gone out, by the monotonic clock. */
    private final Map<RunId, Long> unsentStarts = new ConcurrentHashMap<>();

    /** When the jobs were accepted whose first starts are in the batch that is on its way, in milliseconds since 1970. */
    private volatile List<Long> firstStartsMillis = List.of();

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
    public static LoopMeasures registerIn(PrometheusRegistry registry, TimeSource time) {
        return new LoopMeasures(registry, time);
    }

    /**
     * Returns measures that nobody reads but the log.
     *
     * @param time the clock, not null
     * @return new measures, never null
     */
    public static LoopMeasures unread(TimeSource time) {
        return new LoopMeasures(new PrometheusRegistry(), time);
    }

    private LoopMeasures(PrometheusRegistry registry, TimeSource time) {
        this.time = time;
        times = LoopTimes.registerIn(registry);
        orders = OrderMeasures.registerIn(registry);
    }

    /**
     * Takes note that someone had to wait for the lock of the jobs.
     *
     * @param nanos how long, in nanoseconds
     */
    public void waitedForLock(long nanos) {
        times.lockWait().add(nanos);
    }

    /** Takes note that the timer was set. */
    void timerSet(Duration delay) {
        timerDueNanos = time.nanoTime() + delay.toNanos();
    }

    /** Takes note that the timer runs. */
    void timerRan() {
        times.timerDelay().add(time.nanoTime() - timerDueNanos);
    }

    /** Takes note that a run of the loop has ended. */
    void ran(long begunNanos) {
        times.run().add(time.nanoTime() - begunNanos);
    }

    /** Returns when a plan begins, by the monotonic clock, for {@link #planned}. */
    long planBegins() {
        return time.nanoTime();
    }

    /** Takes note that a plan of starts is made. */
    void planned(long begunNanos) {
        times.plan().add(time.nanoTime() - begunNanos);
    }

    /** Takes note that a new leadership begins. */
    void leadershipBegins() {
        unsentStarts.clear();
        firstStartsMillis = List.of();
    }

    /** Takes note of the next batch, before it is logged and applied. */
    void proposed(WorkflowState state, List<WorkflowCommand> batch) {
        if (batch.isEmpty()) {
            return;
        }
        proposedNanos = time.nanoTime();
        Set<String> seen = new HashSet<>();
        List<Long> accepted = new ArrayList<>();
        for (WorkflowCommand command : batch) {
            if (command instanceof StartRun start && seen.add(jobId(start))) {
                state.job(jobId(start))
                        .filter(LoopMeasures::isUntouched)
                        .ifPresent(job -> accepted.add(job.acceptedMillis()));
            }
        }
        firstStartsMillis = List.copyOf(accepted);
    }

    private static String jobId(StartRun start) {
        return start.run().run().task().jobId();
    }

    /** A job with times starts when it is due, however long ago it was accepted. */
    private static boolean isUntouched(Job job) {
        return job.phase() == JobPhase.QUEUED && !job.definition().recurrence().isPeriodic();
    }

    /** Takes note that the batch is logged and applied. */
    void logged(List<WorkflowCommand> batch) {
        long nowNanos = time.nanoTime();
        times.log().add(nowNanos - proposedNanos);
        long nowMillis = time.millis();
        firstStartsMillis.forEach(
                accepted -> times.firstStart().add(TimeUnit.MILLISECONDS.toNanos(nowMillis - accepted)));
        firstStartsMillis = List.of();
        for (WorkflowCommand command : batch) {
            switch (command) {
                case StartRun start -> unsentStarts.put(start.run().run(), nowNanos);
                case RecordTermination end -> unsentStarts.remove(end.run());
                default -> {}
            }
        }
    }

    /** Takes note that an order goes out. */
    void sent(HostCommand order) {
        orders.sent(order);
        if (order instanceof HostCommand.Start start) {
            Long loggedNanos = unsentStarts.remove(start.run().run());
            if (loggedNanos != null) {
                times.startToOrder().add(time.nanoTime() - loggedNanos);
            }
        }
    }

    /** Takes note of what came of an order. */
    void answered(HostCommand order, long sentNanos, HostResponse answer) {
        orders.answered(order, answer, time.nanoTime() - sentNanos);
    }

    /** Returns what was measured since the last call. */
    LoopSummary takeSummary() {
        return new LoopSummary(
                times.timerDelay().takeSpread(),
                times.run().takeSpread(),
                times.plan().takeSpread(),
                times.lockWait().takeSpread(),
                times.log().takeSpread(),
                times.firstStart().takeSpread(),
                times.startToOrder().takeSpread(),
                orders.takeSpread(OrderKind.START),
                orders.takeSpread(OrderKind.LOOK),
                orders.inFlight(),
                orders.takeOutcomes());
    }

    /** Logs what was measured since the last report, if this member leads; begins anew in any case. */
    void report(boolean leads, long term) {
        LoopSummary summary = takeSummary();
        if (leads) {
            LOG.log(WorkflowEvent.LOOP_SUMMARY, term, summary);
        }
    }
}
