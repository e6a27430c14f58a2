package org.nettlering.domain.quarantine;

import java.util.Collection;
import java.util.List;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Decides which workers with failing tasks to quarantine, and for how long.
 *
 * <ul>
 *   <li>Only failures attributed to the worker count: those of jobs that failed on no other worker or completed on another.
 *   <li>The threshold rises with the median over all live workers, so that many faulty jobs do not quarantine workers.
 *   <li>The duration doubles with each quarantine. Afterwards the worker is on probation and gets one task at a time until
 *       one completes; during probation a single attributed failure can quarantine it again.
 *   <li>At most a quarter of the live workers, but at least one, may be quarantined at once: if more workers fail at
 *       the same time, the cause is assumed to lie outside the workers.
 * </ul>
 *
 * <p>Stateless and thread-safe.
 */
public final class QuarantinePolicy {
    /** Number of attributed failures, at a median of 0, for a worker that is not on probation. */
    private static final int FAILED_JOBS_THRESHOLD = 3;

    private static final long INITIAL_QUARANTINE_MILLIS = 60_000;

    private static final long MAX_QUARANTINE_MILLIS = 3_600_000;

    /** The number of live workers is divided by this value to limit concurrent quarantines. */
    private static final int MAX_QUARANTINED_DIVISOR = 4;

    private QuarantinePolicy() {}

    /**
     * Returns the commands that quarantine workers.
     *
     * @param changedWorkers the recently changed workers, not null
     * @param state the replicated state, not null
     * @param nowMillis the wall-clock time of the leader, in milliseconds since the epoch
     * @return the commands, never null
     */
    public static List<TaskCommand> quarantineCommands(
            Collection<Worker> changedWorkers, TaskState state, long nowMillis) {
        List<Worker> candidates = changedWorkers.stream()
                .filter(worker -> worker.isLive()
                        && worker.quarantinedUntilMillis() <= nowMillis
                        && worker.attributedFailures().size() >= failedJobsThreshold(worker))
                .toList();
        if (candidates.isEmpty()) {
            return List.of();
        }
        int median = medianAttributedFailures(state);
        long remaining = remainingQuarantines(state, nowMillis);
        return candidates.stream()
                .filter(worker -> worker.attributedFailures().size() >= failedJobsThreshold(worker) * (1 + median))
                .limit(remaining)
                .map(worker -> quarantine(worker, median, nowMillis))
                .toList();
    }

    private static int failedJobsThreshold(Worker worker) {
        return worker.isOnProbation() ? 1 : FAILED_JOBS_THRESHOLD;
    }

    private static TaskCommand quarantine(Worker worker, int median, long nowMillis) {
        long durationMillis =
                Math.min(MAX_QUARANTINE_MILLIS, INITIAL_QUARANTINE_MILLIS << Math.min(6, worker.quarantines()));
        return new TaskCommand.Quarantine(
                nowMillis,
                worker.id(),
                nowMillis + durationMillis,
                "fails what others complete",
                worker.attributedFailures().size() + " jobs failed here and not elsewhere (median of all workers "
                        + median
                        + "): "
                        + String.join(
                                ", ",
                                worker.attributedFailures().stream().limit(5).toList()));
    }

    private static int medianAttributedFailures(TaskState state) {
        int[] counts = state.workers().stream()
                .filter(Worker::isLive)
                .mapToInt(worker -> worker.attributedFailures().size())
                .sorted()
                .toArray();
        return counts.length == 0 ? 0 : counts[counts.length / 2];
    }

    private static long remainingQuarantines(TaskState state, long nowMillis) {
        long live = state.workers().stream().filter(Worker::isLive).count();
        long quarantined = state.workers().stream()
                .filter(worker -> worker.isLive() && worker.quarantinedUntilMillis() > nowMillis)
                .count();
        return Math.max(0, Math.max(1, live / MAX_QUARANTINED_DIVISOR) - quarantined);
    }
}
