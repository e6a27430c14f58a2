package org.nettlering.domain.workflow.admission;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobFootprint;

/**
 * Keeps the unfinished jobs within what every member can hold in memory.
 *
 * <p>Every member holds every task of the jobs that it knows in memory, so that one job with too many tasks would end all
 * members, and again after each restart. The same holds for its texts and steps. Such a job is invalid, and any job is
 * rejected while its tasks and those of the unfinished jobs would be too many together, or the memory of all jobs too
 * large. Immutable and thread-safe.
 */
public final class JobAdmissionPolicy {
    /** The delay after which a caller should retry: some of the unfinished jobs have ended by then. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    /** The maximum number of tasks in all occurrences of a job, which are held until the job has ended. */
    private static final int MAX_JOB_TASKS = 50_000;

    /** The maximum number of tasks of all unfinished jobs. */
    private static final int MAX_TASKS = 250_000;

    /** The maximum size of the specification of the tasks, in bytes. */
    private static final int MAX_SPECIFICATION_BYTES = 4_000;

    /** A job that takes no more memory than this is small, in bytes. */
    private static final long SMALL_JOB_BYTES = 64 * 1024;

    /** Of the memory for jobs, one part in so many is for small ones alone, so that large ones do not shut them out. */
    private static final long SMALL_JOBS_PART = 4;

    private JobAdmissionPolicy() {}

    /**
     * Checks that a job is not too large for the members to hold.
     *
     * @param definition the job, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if its occurrences have more than 50,000 tasks, or if the
     *     specification of its tasks is larger than 4,000 bytes
     */
    public static void requireAcceptableSize(JobDefinition definition) {
        requireAcceptableSpecification(definition.taskSpecification());
        long taskCount = definition.taskCount() * definition.recurrence().occurrences();
        if (taskCount > MAX_JOB_TASKS) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "a job cannot have " + taskCount + " tasks; the limit is " + MAX_JOB_TASKS);
        }
    }

    private static void requireAcceptableSpecification(String specification) {
        int bytes = specification.getBytes(StandardCharsets.UTF_8).length;
        if (bytes > MAX_SPECIFICATION_BYTES) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "a job cannot have a specification of " + bytes + " bytes; the limit is "
                            + MAX_SPECIFICATION_BYTES);
        }
    }

    /**
     * Decides whether the members have memory for the tasks of a job.
     *
     * @param definition the job, not null
     * @param unfinishedJobTasks the number of tasks of the unfinished jobs
     * @return the delay after which to retry if the job is rejected, or empty if there is memory, never null
     */
    public static Optional<Duration> retryDelayIfTooManyTasks(JobDefinition definition, long unfinishedJobTasks) {
        return unfinishedJobTasks + definition.taskCount() > MAX_TASKS ? Optional.of(RETRY_AFTER) : Optional.empty();
    }

    /**
     * Decides whether the members have memory for the texts and steps of a job.
     *
     * @param definition the job, not null
     * @param heldBytes the memory that all known jobs take, in bytes
     * @param maxBytes the maximum for all jobs together, in bytes
     * @return the delay after which to retry if the job is rejected, or empty if there is memory, never null
     */
    public static Optional<Duration> retryDelayIfTooManyBytes(JobDefinition definition, long heldBytes, long maxBytes) {
        long jobBytes = JobFootprint.unfinishedBytes(definition);
        long limit = jobBytes > SMALL_JOB_BYTES ? maxBytes - maxBytes / SMALL_JOBS_PART : maxBytes;
        return heldBytes + jobBytes > limit ? Optional.of(RETRY_AFTER) : Optional.empty();
    }
}
