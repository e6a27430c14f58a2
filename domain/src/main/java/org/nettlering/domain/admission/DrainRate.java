package org.nettlering.domain.admission;

import java.time.Duration;

/**
 * Measures how many requests of a service end in a second.
 *
 * <p>An exponentially weighted rate over about {@link #WINDOW}. Mutable and not thread-safe: its owner guards it by a lock.
 */
public final class DrainRate {
    /** The time over which the rate is averaged. */
    public static final Duration WINDOW = Duration.ofSeconds(2);

    private static final double WINDOW_SECONDS = WINDOW.toMillis() / 1_000.0;
    private static final double NANOS_PER_SECOND = 1_000_000_000.0;
    private static final int MINIMUM_EVENTS = 8;

    /** When the measurement began. */
    private final long startNanos;

    /** When the weight was last decayed. */
    private long lastNanos;

    /** The decayed number of events. */
    private double weight;

    /** The number of events, undecayed. */
    private long events;

    /**
     * Starts a measurement.
     *
     * @param nowNanos the monotonic time
     * @return a new rate, never null
     */
    public static DrainRate startingAt(long nowNanos) {
        return new DrainRate(nowNanos);
    }

    private DrainRate(long nowNanos) {
        startNanos = nowNanos;
        lastNanos = nowNanos;
    }

    /**
     * Tells whether enough requests have ended for the rate to mean something.
     *
     * @return true when the rate is usable
     */
    public boolean isMeasured() {
        return events >= MINIMUM_EVENTS;
    }

    /**
     * Returns the rate.
     *
     * @param nowNanos the monotonic time
     * @return requests a second
     */
    public double perSecond(long nowNanos) {
        double seconds = (nowNanos - startNanos) / NANOS_PER_SECOND;
        double covered = WINDOW_SECONDS * -Math.expm1(-seconds / WINDOW_SECONDS);
        return covered <= 0 ? 0 : decayed(nowNanos) / covered;
    }

    /**
     * Counts a request that has ended.
     *
     * @param nowNanos the monotonic time
     */
    public void record(long nowNanos) {
        weight = decayed(nowNanos) + 1;
        lastNanos = nowNanos;
        events++;
    }

    private double decayed(long nowNanos) {
        return weight * Math.exp(-(nowNanos - lastNanos) / NANOS_PER_SECOND / WINDOW_SECONDS);
    }
}
