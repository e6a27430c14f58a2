package org.nettlering.domain.workflow.admission;

import java.time.Duration;

/**
 * A sum whose older parts lose weight exponentially, and the rate that it amounts to.
 *
 * <p>Not thread-safe.
 */
final class DecayingSum {
    /** The time constant of the decay. */
    private final Duration window;

    private final long startNanos;

    private long lastDecayNanos;

    /** The sum, decayed to {@link #lastDecayNanos}. */
    private double decayed;

    DecayingSum(Duration window, long nowNanos) {
        this.window = window;
        startNanos = nowNanos;
        lastDecayNanos = nowNanos;
    }

    void add(double amount, long nowNanos) {
        decayed = decayed(nowNanos) + amount;
        lastDecayNanos = nowNanos;
    }

    /**
     * Returns the weighted mean rate since the start, or over a minimum time if the start was later.
     *
     * @param minObservation the minimum time, not null
     * @param nowNanos the monotonic time
     * @return the amount per millisecond, zero if no time has passed
     */
    double perMilli(Duration minObservation, long nowNanos) {
        long sinceNanos = Math.min(startNanos, nowNanos - minObservation.toNanos());
        double observedMillis = window.toMillis() * -Math.expm1(-windows(sinceNanos, nowNanos));
        return observedMillis <= 0 ? 0 : decayed(nowNanos) / observedMillis;
    }

    private double decayed(long nowNanos) {
        return decayed * Math.exp(-windows(lastDecayNanos, nowNanos));
    }

    private double windows(long sinceNanos, long nowNanos) {
        return (double) (nowNanos - sinceNanos) / window.toNanos();
    }
}
