package org.nettlering.domain.workflow.admission;

import java.time.Duration;

/**
 * Measures the rate at which work ends, in processors that are kept busy by work that ends.
 *
 * <p>The rate is exponentially weighted with the time constant {@link #WINDOW}. Not thread-safe.
 */
public final class WorkRate {
    /** The time constant of the exponential decay; longer than most tasks run. */
    public static final Duration WINDOW = Duration.ofSeconds(4);

    /** The number of tasks that must have ended before the rate is usable. */
    private static final int MIN_TASKS = 30;

    /** The processor time of ended tasks, in milliseconds of one processor. */
    private final DecayingSum ended;

    private long tasks;

    /**
     * Starts a measurement.
     *
     * @param nowNanos the monotonic time
     * @return a new rate, never null
     */
    public static WorkRate startingAt(long nowNanos) {
        return new WorkRate(nowNanos);
    }

    private WorkRate(long nowNanos) {
        ended = new DecayingSum(WINDOW, nowNanos);
    }

    /**
     * Records a task that has ended.
     *
     * @param cpuMillis the processor time of the task, in milliseconds of one processor
     * @param nowNanos the monotonic time
     */
    public void add(long cpuMillis, long nowNanos) {
        ended.add((double) cpuMillis, nowNanos);
        tasks++;
    }

    /**
     * Returns how long work takes at the current rate.
     *
     * @param cpuMillis the processor time of the work, in milliseconds of one processor
     * @param nowNanos the monotonic time
     * @return the duration in milliseconds, or zero while too little is known
     */
    public long durationMillis(long cpuMillis, long nowNanos) {
        double processors = ended.perMilli(Duration.ZERO, nowNanos);
        return tasks < MIN_TASKS || processors <= 0 ? 0 : Math.round(cpuMillis / processors);
    }
}
