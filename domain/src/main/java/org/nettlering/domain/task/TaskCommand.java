package org.nettlering.domain.task;

import java.util.List;

/**
 * A command that changes the replicated task state.
 *
 * <p>Each command carries the wall-clock time of the leader that proposed it. It names the epoch or session to which it
 * refers, so that delayed and duplicate commands have no effect. Immutable and thread-safe.
 */
public sealed interface TaskCommand {
    /**
     * Returns the wall-clock time at which the leader proposed the command.
     *
     * @return milliseconds since the epoch
     */
    long timeMillis();

    /** Adds a job. */
    record Submit(long timeMillis, String operationId, JobSpecification job) implements TaskCommand {}

    /** Cancels a job permanently. */
    record Cancel(long timeMillis, String operationId, String jobId) implements TaskCommand {}

    /**
     * Opens a session of a worker.
     *
     * <p>If the incarnation is new, tasks placed on the worker that are not in {@code running} have terminated: start
     * commands sent to an earlier incarnation cannot reach the new one.
     */
    record RegisterWorker(
            long timeMillis,
            String workerId,
            long incarnation,
            Resources capacity,
            String rack,
            String failureDomain,
            long idleMilliwatts,
            List<TaskEpoch> running)
            implements TaskCommand {}

    /** Places a pending or evicted job on a worker with a new epoch. */
    record Start(
            long timeMillis,
            String jobId,
            String workerId,
            Resources allocation,
            long powerMilliwatts,
            int speedPercent,
            String rule,
            String details)
            implements TaskCommand {}

    /** Records that a worker reported an epoch as running, and its last checkpoint. */
    record RecordProgress(long timeMillis, String jobId, long epoch, long checkpoint) implements TaskCommand {}

    /** Records the reported termination of an epoch. */
    record RecordTermination(
            long timeMillis, String jobId, long epoch, TerminationReason reason, long checkpoint, String detail)
            implements TaskCommand {}

    /** Closes the session of a worker whose lease has expired, including the allowance for clock drift. */
    record MarkWorkerLost(long timeMillis, String workerId, long session) implements TaskCommand {}

    /** Requests another speed. A lower speed releases power only when confirmed; a higher one allocates it immediately. */
    record Throttle(long timeMillis, String jobId, long epoch, int speedPercent, String rule, String details)
            implements TaskCommand {}

    /** Records that the worker reported the requested speed as in force. */
    record ConfirmThrottle(long timeMillis, String jobId, long epoch, long throttleVersion) implements TaskCommand {}

    /** Evicts a task: it writes a checkpoint and stops, at the latest after the grace period. */
    record Evict(long timeMillis, String jobId, long epoch, long graceMillis, String rule, String details)
            implements TaskCommand {}

    /** Adjusts the allocation of a placed task to its measured usage. */
    record Resize(
            long timeMillis,
            String jobId,
            long epoch,
            Resources allocation,
            long powerMilliwatts,
            String rule,
            String details)
            implements TaskCommand {}

    /** Excludes a worker from new placements until the given time; 0 ends the quarantine. */
    record Quarantine(long timeMillis, String workerId, long untilMillis, String rule, String details)
            implements TaskCommand {}

    /** Marks a pending or evicted job as unrunnable. */
    record MarkUnrunnable(long timeMillis, String jobId, String reason) implements TaskCommand {}

    /** Returns an unrunnable job to the pending or evicted phase. */
    record MarkRunnable(long timeMillis, String jobId, String reason) implements TaskCommand {}

    /** Several commands in one log entry, applied in order; each is accepted or rejected independently. */
    record Batch(long timeMillis, List<TaskCommand> commands) implements TaskCommand {}
}
