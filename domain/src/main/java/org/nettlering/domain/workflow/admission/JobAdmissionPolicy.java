package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.Optional;
import org.nettlering.domain.workflow.JobDefinition;

/**
 * Decides whether a submitted job is admitted.
 *
 * <p>A long-running job holds its processors until it is cancelled, so a steady stream of such jobs would leave no capacity
 * for short jobs, whose callers wait for the result. A job with long-running tasks is therefore rejected immediately if the
 * long-running tasks of a pool would exceed a share of its processors. A job whose tasks all end is always admitted.
 * Immutable and thread-safe.
 */
public final class JobAdmissionPolicy {
    /** The maximum share of a pool's processors for long-running tasks, in percent. */
    private static final int MAX_LONG_RUNNING_PERCENT = 88;

    /** The delay after which a caller should retry: long-running jobs leave one at a time, some seconds apart. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    private JobAdmissionPolicy() {}

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
