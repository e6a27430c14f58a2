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
    private static final int MINIMUM_COMPLETIONS = 8;

    /** When the measurement began. */
    private final long startNanos;

    /** When the weight was last decayed. */
    private long lastDecayNanos;

    /** The decayed number of events. */
    private double decayedCount;

    /** The number of events, undecayed. */
    private long completions;

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
        lastDecayNanos = nowNanos;
    }

    /**
     * Tells whether enough requests have ended for the rate to mean something.
     *
     * @return true when the rate is usable
     */
    public boolean hasEnoughSamples() {
        return completions >= MINIMUM_COMPLETIONS;
    }

    /**
     * Returns the rate.
     *
     * @param nowNanos the monotonic time
     * @return requests a second
     */
    public double perSecond(long nowNanos) {
        double seconds = (nowNanos - startNanos) / NANOS_PER_SECOND;
        double effectiveWindowSeconds = WINDOW_SECONDS * -Math.expm1(-seconds / WINDOW_SECONDS);
        return effectiveWindowSeconds <= 0 ? 0 : decayed(nowNanos) / effectiveWindowSeconds;
    }

    /**
     * Counts a request that has ended.
     *
     * @param nowNanos the monotonic time
     */
    public void recordCompletion(long nowNanos) {
        decayedCount = decayed(nowNanos) + 1;
        lastDecayNanos = nowNanos;
        completions++;
    }

    private double decayed(long nowNanos) {
        return decayedCount * Math.exp(-(nowNanos - lastDecayNanos) / NANOS_PER_SECOND / WINDOW_SECONDS);
    }
}
