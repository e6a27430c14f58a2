package org.nettlering.domain.retry;

import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * How long a service's answers may take before a further attempt is worth its cost.
 *
 * <p>The smoothed response time plus four times its smoothed deviation, as TCP computes its retransmission timeout.
 * Thread-safe.
 */
public final class AdaptiveTimeout {
    /** The shortest patience. */
    public static final Duration MINIMUM = Duration.ofMillis(250);

    /** The patience before enough answers were measured. */
    public static final Duration INITIAL = Duration.ofSeconds(1);

    private static final int MINIMUM_SAMPLES = 16;

    /** Guards the measurements. */
    private final ReentrantLock lock = new ReentrantLock();

    /** How many answers were measured. */
    private long samples;

    /** The smoothed response time. */
    private double meanNanos;

    /** The smoothed deviation from it. */
    private double deviationNanos;

    /**
     * Creates a patience without measurements.
     *
     * @return a new patience, never null
     */
    public static AdaptiveTimeout create() {
        return new AdaptiveTimeout();
    }

    private AdaptiveTimeout() {}

    /**
     * Returns how long to wait for an answer before a further attempt.
     *
     * @return the patience, never null
     */
    public Duration current() {
        lock.lock();
        try {
            if (samples < MINIMUM_SAMPLES) {
                return INITIAL;
            }
            Duration measured = Duration.ofNanos((long) (meanNanos + 4 * deviationNanos));
            return measured.compareTo(MINIMUM) < 0 ? MINIMUM : measured;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a response time.
     *
     * @param responseTime from dispatch to the head of the answer, not null
     */
    public void recordResponse(Duration responseTime) {
        lock.lock();
        try {
            double nanos = responseTime.toNanos();
            if (samples == 0) {
                meanNanos = nanos;
                deviationNanos = nanos / 2;
            } else {
                deviationNanos += (Math.abs(nanos - meanNanos) - deviationNanos) / 4;
                meanNanos += (nanos - meanNanos) / 8;
            }
            samples++;
        } finally {
            lock.unlock();
        }
    }
}
