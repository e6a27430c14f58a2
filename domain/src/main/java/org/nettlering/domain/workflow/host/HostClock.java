package org.nettlering.domain.workflow.host;

import java.util.concurrent.TimeUnit;

/**
 * What is known of a host's own steady clock, which leases are measured on.
 *
 * <p>A reading that arrived is a time that the host's clock has reached; since then it has moved on, at worst a little
 * slower than ours. Not thread-safe.
 */
final class HostClock {
    /** The share of our speed that a host's clock has at least, in thousandths. */
    private static final long MIN_CLOCK_RATE_PER_MILLE = 980;

    /** Whether there is a reading. */
    private boolean known;

    /** The reading that tells most. */
    private long readingMillis;

    /** When it arrived, by our monotonic clock. */
    private long receivedNanos;

    boolean isKnown() {
        return known;
    }

    /** Takes a reading if it tells more than the one before. */
    void recordReading(long millis, long nowNanos) {
        if (!known || millis >= lowerBoundMillis(nowNanos)) {
            known = true;
            readingMillis = millis;
            receivedNanos = nowNanos;
        }
    }

    /** Returns what the host's clock shows about now. */
    long estimatedMillis(long nowNanos) {
        return readingMillis + elapsedMillis(nowNanos);
    }

    /** Returns what the host's clock shows at least. */
    long lowerBoundMillis(long nowNanos) {
        return readingMillis + elapsedMillis(nowNanos) * MIN_CLOCK_RATE_PER_MILLE / 1_000;
    }

    /** Returns how long ago the reading that tells most arrived, in milliseconds. */
    long readingAgeMillis(long nowNanos) {
        return elapsedMillis(nowNanos);
    }

    private long elapsedMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
    }
}
