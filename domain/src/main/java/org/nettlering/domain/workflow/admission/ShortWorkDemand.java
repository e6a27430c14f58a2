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

    private final long startNanos;

    private long lastDecayNanos;

    /** The processor time of submitted work in millicore-milliseconds, decayed to {@link #lastDecayNanos}. */
    private double decayedWork;

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
        startNanos = nowNanos;
        lastDecayNanos = nowNanos;
    }

    /**
     * Returns the demand.
     *
     * @param nowNanos the monotonic time
     * @return the processors in millicores; at most what was submitted in {@link #MIN_OBSERVATION} or more
     */
    public long millicores(long nowNanos) {
        long sinceNanos = Math.min(startNanos, nowNanos - MIN_OBSERVATION.toNanos());
        double observedMillis = WINDOW.toMillis() * -Math.expm1(-windows(sinceNanos, nowNanos));
        return Math.round(decayedWork(nowNanos) / observedMillis);
    }

    /**
     * Records a job that was submitted; its long-running tasks do not count.
     *
     * @param definition the job, not null
     * @param nowNanos the monotonic time
     */
    public void add(JobDefinition definition, long nowNanos) {
        double work = 0;
        for (StepSpecification step : definition.steps()) {
            if (!step.has(StepTrait.LONG_RUNNING)) {
                work += (double) step.taskCount()
                        * step.estimatedRuntimeMillis()
                        * step.demand().millicores();
            }
        }
        decayedWork = decayedWork(nowNanos) + work;
        lastDecayNanos = nowNanos;
    }

    private double decayedWork(long nowNanos) {
        return decayedWork * Math.exp(-windows(lastDecayNanos, nowNanos));
    }

    private static double windows(long sinceNanos, long nowNanos) {
        return (double) (nowNanos - sinceNanos) / WINDOW.toNanos();
    }
}
