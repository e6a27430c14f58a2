package org.nettlering.domain.workflow.host;

import java.util.concurrent.TimeUnit;

/**
 * Bounds the time of a host's own monotonic clock, by which leases are measured.
 *
 * <p>A received reading is a time that the host's clock has reached. Since then, the host's clock may have run slightly
 * slower than the local clock. A reading below what the clock had certainly reached is of another incarnation, whose clock started
 * anew. Not thread-safe.
 */
final class HostClock {
    /** The minimum rate of a host's clock relative to the local clock, in thousandths. */
    private static final long MIN_CLOCK_RATE_PER_MILLE = 980;

    /** A reading may differ by so much from what is expected, by rounding and delays. */
    private static final long TOLERANCE_MILLIS = 300;

    /** Whether a reading was received. */
    private boolean known;

    /** The reading that gives the highest lower bound. */
    private long readingMillis;

    /** When that reading was received, by the local monotonic clock. */
    private long receivedNanos;

    boolean isKnown() {
        return known;
    }

    /** Uses a reading if it raises the lower bound. */
    void recordReading(long millis, long nowNanos) {
        if (!known || millis >= lowerBoundMillis(nowNanos)) {
            known = true;
            readingMillis = millis;
            receivedNanos = nowNanos;
        }
    }

    /** Returns whether a reading is too low for a clock that has run on since the earlier ones. */
    boolean isRestarted(long millis, long takenAfterNanos) {
        return known && millis < lowerBoundMillis(takenAfterNanos) - TOLERANCE_MILLIS;
    }

    /** Returns whether a reading is too high for a clock that has run on since the earlier ones. */
    boolean isAhead(long millis, long nowNanos) {
        return known && millis > estimatedMillis(nowNanos) + TOLERANCE_MILLIS;
    }

    /** Returns the estimated time of the host's clock, assuming that it runs at the rate of the local clock. */
    long estimatedMillis(long nowNanos) {
        return readingMillis + elapsedMillis(nowNanos);
    }

    /** Returns a time that the host's clock has certainly reached. */
    long lowerBoundMillis(long nowNanos) {
        return readingMillis + elapsedMillis(nowNanos) * MIN_CLOCK_RATE_PER_MILLE / 1_000;
    }

    /** Returns the time since the reading in use was received, in milliseconds. */
    long readingAgeMillis(long nowNanos) {
        return elapsedMillis(nowNanos);
    }

    private long elapsedMillis(long nowNanos) {
        return TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
    }
}
