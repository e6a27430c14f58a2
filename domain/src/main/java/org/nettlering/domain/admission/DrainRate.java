package org.nettlering.domain.admission;

import java.time.Duration;

/**
 * Measures the completed requests per second of a service.
 *
 * <p>The rate is exponentially weighted with the time constant {@link #WINDOW}. Mutable and not thread-safe: the owner
 * guards it with a lock.
 */
public final class DrainRate {
    /** The time constant of the exponential decay. */
    public static final Duration WINDOW = Duration.ofSeconds(2);

    private static final double WINDOW_SECONDS = WINDOW.toMillis() / 1_000.0;
    private static final double NANOS_PER_SECOND = 1_000_000_000.0;
    private static final int MINIMUM_COMPLETIONS = 8;

    private final long startNanos;

    private long lastDecayNanos;

    /** The number of completions, decayed to {@link #lastDecayNanos}. */
    private double decayedCount;

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
     * Returns whether enough requests have completed for the rate to be usable.
     *
     * @return true when the rate is usable
     */
    public boolean hasEnoughSamples() {
        return completions >= MINIMUM_COMPLETIONS;
    }

    /**
     * Returns the current rate.
     *
     * @param nowNanos the monotonic time
     * @return completed requests per second, zero when no time has passed since the start
     */
    public double perSecond(long nowNanos) {
        double seconds = (nowNanos - startNanos) / NANOS_PER_SECOND;
        double effectiveWindowSeconds = WINDOW_SECONDS * -Math.expm1(-seconds / WINDOW_SECONDS);
        return effectiveWindowSeconds <= 0 ? 0 : decayed(nowNanos) / effectiveWindowSeconds;
    }

    /**
     * Records a completed request.
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
