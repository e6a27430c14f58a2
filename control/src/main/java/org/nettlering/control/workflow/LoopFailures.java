package org.nettlering.control.workflow;

import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.log.EventLogger;

/**
 * Isolates the parts of the leader's loop: a part that fails is counted and logged, and those that follow are still done.
 *
 * <p>Failures are logged later by {@link #logAll}, so that nothing is logged while a lock is held. Thread-safe.
 */
final class LoopFailures {
    private static final EventLogger LOG = EventLogger.of(LoopFailures.class);

    private final LoopMetrics metrics;

    /** The log lines that are not written yet. */
    private final Queue<Runnable> logLines = new ConcurrentLinkedQueue<>();

    LoopFailures(LoopMetrics metrics) {
        this.metrics = metrics;
    }

    /**
     * Does a part of the work.
     *
     * @param part the part
     * @param subject what it deals with, such as the id of a host
     * @param work the work; must not block
     * @return true if the work was completed, false if it failed
     */
    boolean isolate(LoopPart part, Object subject, Runnable work) {
        try {
            work.run();
            return true;
        } catch (RuntimeException exception) {
            add(part, subject, exception);
            return false;
        }
    }

    /** Records a failure, unless it is the loss of the leadership, which may happen at any time. */
    void add(LoopPart part, Object subject, RuntimeException exception) {
        if (exception instanceof NettleringException known && known.code() == ErrorCode.NOT_LEADER) {
            return;
        }
        metrics.partFailed(part);
        logLines.add(() -> LOG.log(WorkflowEvent.LOOP_PART_FAILED, part.label(), subject, exception));
    }

    /** Records that a command to a host, or a batch, has had no outcome within its deadline. */
    void addOverdue(LoopPart part, Object subject, long millis) {
        metrics.outcomeOverdue(part);
        logLines.add(() -> LOG.log(WorkflowEvent.OUTCOME_OVERDUE, part.label(), subject, millis));
    }

    /** Logs the failures since the last call; must not be called while a lock is held. */
    void logAll() {
        for (Runnable logLine = logLines.poll(); logLine != null; logLine = logLines.poll()) {
            logLine.run();
        }
    }
}
