package org.nettlering.domain.retry;

import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The time to wait for a response of a service before a further attempt is worth its cost.
 *
 * <p>The timeout is the smoothed response time plus four times its smoothed deviation, like the retransmission timeout
 * of TCP. Thread-safe.
 */
public final class AdaptiveTimeout {
    /** The minimum timeout. */
    public static final Duration MINIMUM = Duration.ofMillis(250);

    /** The timeout until enough response times have been recorded. */
    public static final Duration INITIAL = Duration.ofSeconds(1);

    private static final int MINIMUM_SAMPLES = 16;

    /** Guards all fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    private long samples;

    /** The smoothed response time. */
    private double meanNanos;

    /** The smoothed mean deviation of the response time. */
    private double deviationNanos;

    /**
     * Creates a timeout without recorded response times.
     *
     * @return a new timeout, never null
     */
    public static AdaptiveTimeout create() {
        return new AdaptiveTimeout();
    }

    private AdaptiveTimeout() {}

    /**
     * Returns the current timeout.
     *
     * @return the time to wait for a response before a further attempt, never null
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
     * Records a response time.
     *
     * @param responseTime the time from dispatch to the head of the response, not null
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
