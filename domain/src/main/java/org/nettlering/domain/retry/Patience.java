package org.nettlering.domain.retry;

import java.time.Duration;
import java.util.concurrent.locks.ReentrantLock;

/**
 * How long a service's answers may take before a further attempt is worth its cost.
 *
 * <p>The smoothed response time plus four times its smoothed deviation, as TCP computes its retransmission timeout.
 * Thread-safe.
 */
public final class Patience {
    /** The shortest patience. */
    public static final Duration SHORTEST = Duration.ofMillis(250);

    /** The patience before enough answers were measured. */
    public static final Duration AT_START = Duration.ofSeconds(1);

    private static final int MINIMUM_ANSWERS = 16;

    /** Guards the measurements. */
    private final ReentrantLock lock = new ReentrantLock();

    /** How many answers were measured. */
    private long answers;

    /** The smoothed response time. */
    private double meanNanos;

    /** The smoothed deviation from it. */
    private double deviationNanos;

    /**
     * Creates a patience without measurements.
     *
     * @return a new patience, never null
     */
    public static Patience create() {
        return new Patience();
    }

    private Patience() {}

    /**
     * Returns how long to wait for an answer before a further attempt.
     *
     * @return the patience, never null
     */
    public Duration current() {
        lock.lock();
        try {
            if (answers < MINIMUM_ANSWERS) {
                return AT_START;
            }
            Duration measured = Duration.ofNanos((long) (meanNanos + 4 * deviationNanos));
            return measured.compareTo(SHORTEST) < 0 ? SHORTEST : measured;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a response time.
     *
     * @param responseTime from dispatch to the head of the answer, not null
     */
    public void record(Duration responseTime) {
        lock.lock();
        try {
            double nanos = responseTime.toNanos();
            if (answers == 0) {
                meanNanos = nanos;
                deviationNanos = nanos / 2;
            } else {
                deviationNanos += (Math.abs(nanos - meanNanos) - deviationNanos) / 4;
                meanNanos += (nanos - meanNanos) / 8;
            }
            answers++;
        } finally {
            lock.unlock();
        }
    }
}
