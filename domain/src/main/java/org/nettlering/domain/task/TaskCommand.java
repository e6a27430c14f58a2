package org.nettlering.domain.task;

import java.util.List;

/**
 * A change of the replicated task state.
 *
 * <p>Each command carries the wall clock of the leader that proposed it, and names the epoch or session it rests on, so
 * that one that comes late or twice changes nothing. Immutable and thread-safe.
 */
public sealed interface TaskCommand {
    /**
     * Returns the leader's wall clock when it proposed the command.
     *
     * @return milliseconds since the epoch
     */
    long timeMillis();

    /** Accepts a job. */
    record Submit(long timeMillis, String operationId, JobSpecification job) implements TaskCommand {}

    /** Ends a job for good. */
    record Cancel(long timeMillis, String operationId, String jobId) implements TaskCommand {}

    /**
     * Opens a session of a worker; tasks committed to it that are not among the running ones have ended.
     *
     * <p>The running list comes from the report of a new incarnation, which no earlier start command can reach.
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

    /** Commits a waiting job to a worker under a new epoch. */
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

    /** Records that a worker reported an epoch running, and its last checkpoint. */
    record RecordProgress(long timeMillis, String jobId, long epoch, long checkpoint) implements TaskCommand {}

    /** Records the proof that an epoch ended. */
    record RecordTermination(
            long timeMillis, String jobId, long epoch, TerminationReason reason, long checkpoint, String detail)
            implements TaskCommand {}

    /** Ends a worker's session, after its lease and the clock-drift bound have passed. */
    record MarkWorkerLost(long timeMillis, String workerId, long session) implements TaskCommand {}

    /** Asks for another speed; a lower one frees power only once confirmed, a higher one commits it at once. */
    record Throttle(long timeMillis, String jobId, long epoch, int speedPercent, String rule, String details)
            implements TaskCommand {}

    /** Records that the worker reported the lower speed in force. */
    record ConfirmThrottle(long timeMillis, String jobId, long epoch, long throttleVersion) implements TaskCommand {}

    /** Asks a task to write a checkpoint and stop, at the latest after a grace. */
    record Evict(long timeMillis, String jobId, long epoch, long graceMillis, String rule, String details)
            implements TaskCommand {}

    /** Corrects the commitment of a placed task to what was measured. */
    record Resize(
            long timeMillis,
            String jobId,
            long epoch,
            Resources allocation,
            long powerMilliwatts,
            String rule,
            String details)
            implements TaskCommand {}

    /** Keeps new tasks off a worker until a time; zero lifts the quarantine. */
    record Quarantine(long timeMillis, String workerId, long untilMillis, String rule, String details)
            implements TaskCommand {}

    /** Names a waiting job unrunnable. */
    record MarkUnrunnable(long timeMillis, String jobId, String reason) implements TaskCommand {}

    /** Lets an unrunnable job wait again. */
    record MarkRunnable(long timeMillis, String jobId, String reason) implements TaskCommand {}

    /** Several commands in one record of the log, applied in order, each on its own. */
    record Batch(long timeMillis, List<TaskCommand> commands) implements TaskCommand {}
}
