package org.nettlering.domain.workflow.admission;

import java.time.Duration;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * The processors that the short work which callers submit to one pool needs on average.
 *
 * <p>Exponentially weighted with the time constant {@link #WINDOW}; run times are as declared. Not thread-safe.
 */
public final class ShortWorkDemand {
    /** The time constant of the exponential decay; longer than a burst, so that one does not turn long-running jobs away. */
    public static final Duration WINDOW = Duration.ofSeconds(30);

    /** The time over which the first submissions are averaged at least, so that a single job does not count as a flood. */
    private static final Duration MIN_OBSERVATION = Duration.ofSeconds(10);

    /** The processor time of submitted work, in millicore-milliseconds. */
    private final DecayingSum work;

    /**
     * Starts to observe a pool.
     *
     * @param nowNanos the monotonic time
     * @return a new demand, never null
     */
    public static ShortWorkDemand observedSince(long nowNanos) {
        return new ShortWorkDemand(nowNanos);
    }

    private ShortWorkDemand(long nowNanos) {
        work = new DecayingSum(WINDOW, nowNanos);
    }

    /**
     * Returns the demand.
     *
     * @param nowNanos the monotonic time
     * @return the processors in millicores; at most what was submitted in {@link #MIN_OBSERVATION} or more
     */
    public long millicores(long nowNanos) {
        return Math.round(work.perMilli(MIN_OBSERVATION, nowNanos));
    }

    /**
     * Records a job that was submitted; its long-running tasks do not count.
     *
     * @param definition the job, not null
     * @param nowNanos the monotonic time
     */
    public void add(JobDefinition definition, long nowNanos) {
        double submitted = 0;
        for (StepSpecification step : definition.steps()) {
            if (!step.has(StepTrait.LONG_RUNNING)) {
                submitted += (double) step.taskCount()
                        * step.estimatedRuntimeMillis()
                        * step.demand().millicores();
            }
        }
        work.add(submitted, nowNanos);
    }
}
