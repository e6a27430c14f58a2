package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.Optional;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.JobDefinition;

/**
 * Decides whether a submitted job is admitted.
 *
 * <p>A long-running job holds its processors until it is cancelled, so a steady stream of such jobs would leave no capacity
 * for short jobs, whose callers wait for the result. A job with long-running tasks is therefore rejected immediately if the
 * long-running tasks of a pool would exceed a share of its processors.
 *
 * <p>Every member holds every task of the jobs that it knows in memory, so that one job with too many tasks would end all
 * members, and again after each restart. Such a job is invalid, and any job is rejected while its tasks and those of the
 * unfinished jobs would be too many together. Any other job whose tasks all end is admitted. Immutable and thread-safe.
 */
public final class JobAdmissionPolicy {
    /** The maximum share of a pool's processors for long-running tasks, in percent. */
    private static final int MAX_LONG_RUNNING_PERCENT = 88;

    /** The delay after which a caller should retry: long-running jobs leave one at a time, some seconds apart. */
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

    /**
     * Decides whether a job is admitted.
     *
     * <p>Every job is admitted while no host of the pool is known.
     *
     * @param definition the job, not null
     * @param poolMillicores the processors of the pool's hosts, in millicores, zero while no host is known
     * @param longRunningMillicores the processors that the unfinished jobs of the pool need for long-running tasks, running
     *     or pending, in millicores
     * @return the delay after which to retry if the job is rejected, or empty if it is admitted, never null
     */
    public static Optional<Duration> rejectionRetryDelay(
            JobDefinition definition, long poolMillicores, long longRunningMillicores) {
        long requestedMillicores = definition.longRunningMillicores();
        boolean exceedsShare = requestedMillicores > 0
                && longRunningMillicores + requestedMillicores > poolMillicores * MAX_LONG_RUNNING_PERCENT / 100;
        return exceedsShare && poolMillicores > 0 ? Optional.of(RETRY_AFTER) : Optional.empty();
    }
}
