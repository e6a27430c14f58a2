package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import java.util.Optional;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides whether a job is accepted.
 *
 * <p>Answers jobs that last and come on and on: each holds its processors until it is cancelled, so that in the end the
 * short work of callers who wait finds no room. Beyond a share of the pool such a job is rejected at once. Work that ends is
 * always accepted. Immutable and thread-safe.
 */
public final class JobAdmissionPolicy {
    /** The share of a pool's processors that tasks that last may hold, in percent. */
    private static final int MAX_LONG_RUNNING_PERCENT = 88;

    /** When a caller whose job was rejected should come back: jobs that last leave one at a time, some seconds apart. */
    private static final Duration RETRY_AFTER = Duration.ofSeconds(5);

    private JobAdmissionPolicy() {}

    /**
     * Decides on a job.
     *
     * @param definition the job, not null
     * @param poolMillicores the processors of the pool's hosts; zero while none is known, in millicores
     * @param longRunningMillicores the processors that jobs that last hold or wait for, in millicores
     * @return when to come back if the job is rejected, or empty if it is accepted, never null
     */
    public static Optional<Duration> rejectionRetryDelay(
            JobDefinition definition, long poolMillicores, long longRunningMillicores) {
        long requestedMillicores = longRunningMillicores(definition);
        boolean exceedsShare = requestedMillicores > 0
                && longRunningMillicores + requestedMillicores > poolMillicores * MAX_LONG_RUNNING_PERCENT / 100;
        return exceedsShare && poolMillicores > 0 ? Optional.of(RETRY_AFTER) : Optional.empty();
    }

    /**
     * Returns the processors that the tasks of a job that last commit.
     *
     * @param definition the job, not null
     * @return the sum in millicores, zero for a job whose tasks all end
     */
    public static long longRunningMillicores(JobDefinition definition) {
        long sum = 0;
        for (StepSpecification step : definition.steps()) {
            if (step.has(StepTrait.LONG_RUNNING)) {
                sum += step.taskCount() * step.allocation().millicores();
            }
        }
        return sum;
    }
}
