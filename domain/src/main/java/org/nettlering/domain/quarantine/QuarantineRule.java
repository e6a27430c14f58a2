package org.nettlering.domain.quarantine;

import java.util.Optional;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.Worker;

/**
 * Decides when a worker that fails its tasks gets no new ones, and for how long.
 *
 * <p>A worker is compared with the others by {@code domain.task}: only jobs that failed nowhere else, or completed
 * elsewhere, count against it. The time doubles with each quarantine; afterwards the worker gets one task at a time until it
 * completes one. At most a quarter of the live workers are quarantined at once, because a fault of so many is not theirs.
 * Stateless and thread-safe.
 */
public final class QuarantineRule {
    /** Jobs that have to be held against a worker. */
    private static final int JOBS_TO_QUARANTINE = 3;

    /** How long the first quarantine lasts. */
    private static final long FIRST_MILLIS = 60_000;

    /** The longest quarantine. */
    private static final long LONGEST_MILLIS = 3_600_000;

    /** One live worker in this many may be quarantined, and at least one. */
    private static final int QUARANTINED_SHARE = 4;

    private QuarantineRule() {}

    /**
     * Decides whether to quarantine a worker now.
     *
     * @param worker the worker, not null
     * @param state the replicated state, not null
     * @param nowMillis the leader's wall clock
     * @return the command, or empty, never null
     */
    public static Optional<TaskCommand> check(Worker worker, TaskState state, long nowMillis) {
        int threshold = worker.isOnProbation() ? 1 : JOBS_TO_QUARANTINE;
        if (!worker.isLive()
                || worker.quarantinedUntilMillis() > nowMillis
                || worker.blamedFor().size() < threshold
                || isFull(state, nowMillis)) {
            return Optional.empty();
        }
        long millis = Math.min(LONGEST_MILLIS, FIRST_MILLIS << Math.min(6, worker.quarantines()));
        return Optional.of(new TaskCommand.Quarantine(
                nowMillis,
                worker.id(),
                nowMillis + millis,
                "fails what others complete",
                worker.blamedFor().size() + " jobs failed here and not elsewhere: "
                        + String.join(", ", worker.blamedFor().stream().limit(5).toList())));
    }

    private static boolean isFull(TaskState state, long nowMillis) {
        long live = state.workers().stream().filter(Worker::isLive).count();
        long quarantined = state.workers().stream()
                .filter(worker -> worker.isLive() && worker.quarantinedUntilMillis() > nowMillis)
                .count();
        return quarantined >= Math.max(1, live / QUARANTINED_SHARE);
    }
}
