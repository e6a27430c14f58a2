package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.Optional;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.JobDefinition;

/**
 * Keeps the unfinished jobs within what every member can hold in memory.
 *
 * <p>Every member holds every task of the jobs that it knows in memory, so that one job with too many tasks would end all
 * members, and again after each restart. Such a job is invalid, and any job is rejected while its tasks and those of the
 * unfinished jobs would be too many together. Immutable and thread-safe.
 */
public final class JobAdmissionPolicy {
    /** The delay after which a caller should retry: some of the unfinished jobs have ended by then. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    /** The maximum number of tasks in all occurrences of a job, which are held until the job has ended. */
    private static final int MAX_JOB_TASKS = 50_000;

    /** The maximum number of tasks of all unfinished jobs. */
    private static final int MAX_TASKS = 250_000;

    private JobAdmissionPolicy() {}

    /**
     * Checks that a job is not too large for the members to hold.
     *
     * @param definition the job, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if its occurrences have more than 50,000 tasks
     */
    public static void requireAcceptableSize(JobDefinition definition) {
        long taskCount = definition.taskCount() * definition.recurrence().occurrences();
        if (taskCount > MAX_JOB_TASKS) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "a job cannot have " + taskCount + " tasks; the limit is " + MAX_JOB_TASKS);
        }
    }

    /**
     * Decides whether the members have memory for a job.
     *
     * @param definition the job, not null
     * @param unfinishedJobTasks the number of tasks of the unfinished jobs
     * @return the delay after which to retry if the job is rejected, or empty if there is memory, never null
     */
    public static Optional<Duration> retryDelayIfTooManyTasks(JobDefinition definition, long unfinishedJobTasks) {
        return unfinishedJobTasks + definition.taskCount() > MAX_TASKS ? Optional.of(RETRY_AFTER) : Optional.empty();
    }
}
