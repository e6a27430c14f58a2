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

    private final long startNanos;

    private long lastDecayNanos;

    /** The processor time of ended tasks in milliseconds, decayed to {@link #lastDecayNanos}. */
    private double decayedCpuMillis;

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
        startNanos = nowNanos;
        lastDecayNanos = nowNanos;
    }

    /**
     * Records a task that has ended.
     *
     * @param cpuMillis the processor time of the task, in milliseconds of one processor
     * @param nowNanos the monotonic time
     */
    public void add(long cpuMillis, long nowNanos) {
        decayedCpuMillis = decayed(nowNanos) + cpuMillis;
        lastDecayNanos = nowNanos;
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
        double windowMillis = WINDOW.toMillis() * -Math.expm1(-elapsedWindows(startNanos, nowNanos));
        double processors = windowMillis <= 0 ? 0 : decayed(nowNanos) / windowMillis;
        return tasks < MIN_TASKS || processors <= 0 ? 0 : Math.round(cpuMillis / processors);
    }

    private double decayed(long nowNanos) {
        return decayedCpuMillis * Math.exp(-elapsedWindows(lastDecayNanos, nowNanos));
    }

    private static double elapsedWindows(long sinceNanos, long nowNanos) {
        return (double) (nowNanos - sinceNanos) / WINDOW.toNanos();
    }
}
