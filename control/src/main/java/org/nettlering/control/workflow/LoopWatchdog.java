package org.nettlering.control.workflow;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;

/**
 * Logs when the workflow loop stands still or a batch stays in flight.
 *
 * <p>Runs on timers of its own and takes no lock that the loop needs, so that it reports whatever the loop waits for. Changes
 * nothing. Thread-safe.
 */
public final class LoopWatchdog implements AutoCloseable {
    private static final Duration INTERVAL = Duration.ofMillis(250);

    /** How long the loop may be without an iteration, and a batch in flight. */
    private static final Duration LIMIT = Duration.ofSeconds(1);

    /** The delay of the timer beyond which the whole process stood still. */
    private static final Duration STANDSTILL = Duration.ofMillis(500);

    /** The interval of the lines on one and the same delay. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private static final EventLogger LOG = EventLogger.of(LoopWatchdog.class);

    private final TimeSource time;

    private final LoopActivity activity;

    private volatile TimeSource.@Nullable Timer timer;

    private volatile boolean closed;

    /** When the next check is due, by the monotonic clock; accessed by the timer only, as are the fields below. */
    private long dueNanos;

    /** When the process last went on after it had stood still, by the monotonic clock. */
    private long resumedNanos;

    private long nextLoopReportNanos;

    private long nextBatchReportNanos;

    /**
     * Starts to watch a loop.
     *
     * @param time the clock of the loop with timers that nothing else uses, not null
     * @param metrics the metrics of the loop, not null
     * @return the running watchdog, never null
     */
    public static LoopWatchdog start(TimeSource time, LoopMetrics metrics) {
        LoopWatchdog watchdog = new LoopWatchdog(time, metrics.diagnostics().activity());
        watchdog.scheduleCheck();
        return watchdog;
    }

    private LoopWatchdog(TimeSource time, LoopActivity activity) {
        this.time = time;
        this.activity = activity;
        resumedNanos = time.nanoTime();
        nextLoopReportNanos = resumedNanos;
        nextBatchReportNanos = resumedNanos;
    }

    private void scheduleCheck() {
        if (!closed) {
            dueNanos = time.nanoTime() + INTERVAL.toNanos();
            timer = time.schedule(INTERVAL, this::check);
        }
    }

    private void check() {
        try {
            long nowNanos = time.nanoTime();
            reportStandstill(nowNanos);
            reportLoop(nowNanos);
            reportBatch(nowNanos);
        } finally {
            scheduleCheck();
        }
    }

    private void reportStandstill(long nowNanos) {
        long delayNanos = nowNanos - dueNanos;
        if (delayNanos >= STANDSTILL.toNanos()) {
            resumedNanos = nowNanos;
            LOG.log(
                    WorkflowEvent.PROCESS_STOOD_STILL,
                    Duration.ofNanos(delayNanos).toMillis());
        }
    }

    private void reportLoop(long nowNanos) {
        long term = activity.leadingTerm();
        boolean tickLate = isOverdue(activity.tickNanos(), nowNanos);
        boolean iterationLate = term != 0 && isOverdue(activity.iterationNanos(), nowNanos);
        if ((!tickLate && !iterationLate) || nowNanos - nextLoopReportNanos < 0) {
            return;
        }
        nextLoopReportNanos = nowNanos + REPORT_INTERVAL.toNanos();
        LOG.log(
                WorkflowEvent.LOOP_STOOD_STILL,
                LoopActivity.ageMillis(activity.iterationNanos(), nowNanos),
                LoopActivity.ageMillis(activity.tickNanos(), nowNanos),
                term,
                activity.describeThreads());
    }

    private void reportBatch(long nowNanos) {
        LoopActivity.BatchInFlight batch = activity.batchInFlight();
        if (batch == null || !isOverdue(batch.proposedNanos(), nowNanos) || nowNanos - nextBatchReportNanos < 0) {
            return;
        }
        nextBatchReportNanos = nowNanos + REPORT_INTERVAL.toNanos();
        LOG.log(
                WorkflowEvent.BATCH_NOT_FINISHED,
                batch.commands(),
                activity.leadingTerm(),
                LoopActivity.ageMillis(batch.proposedNanos(), nowNanos));
    }

    /** Returns whether something is overdue, not counting the time for which the whole process stood still. */
    private boolean isOverdue(long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos >= LIMIT.toNanos() && nowNanos - resumedNanos >= LIMIT.toNanos();
    }

    /** Stops watching. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
