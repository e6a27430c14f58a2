package org.nettlering.domain.quarantine;

import java.util.Collection;
import java.util.List;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Decides when a worker that fails its tasks gets no new ones, and for how long.
 *
 * <p>A worker is compared with the others twice. Only jobs that failed nowhere else, or completed elsewhere, count against
 * it; and it must have clearly more of them than the median worker, so that a wave of broken jobs quarantines nobody. The time doubles with each quarantine; afterwards the worker gets one task at a time until it
 * completes one. At most a quarter of the live workers are quarantined at once, because a fault of so many is not theirs.
 * Stateless and thread-safe.
 */
public final class QuarantinePolicy {
    /** Jobs that have to be held against a worker. */
    private static final int FAILED_JOBS_THRESHOLD = 3;

    /** How long the first quarantine lasts. */
    private static final long INITIAL_QUARANTINE_MILLIS = 60_000;

    /** The longest quarantine. */
    private static final long MAX_QUARANTINE_MILLIS = 3_600_000;

    /** One live worker in this many may be quarantined, and at least one. */
    private static final int MAX_QUARANTINED_DIVISOR = 4;

    private QuarantinePolicy() {}

    /**
     * Decides which workers to quarantine now.
     *
     * @param changedWorkers the workers that changed lately, not null
     * @param state the replicated state, not null
     * @param nowMillis the leader's wall clock
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
