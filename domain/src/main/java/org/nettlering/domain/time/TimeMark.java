package org.nettlering.domain.time;

import java.time.Duration;

/**
 * A moment from which the validity of a permission is counted.
 *
 * <p>The steady clock of a host stands still while the host is suspended, and the time of day may jump. A permission counts as expired
 * if it has expired by either clock, so that a host that was suspended never uses one from before; a time of day that jumps forward ends
 * it early. Immutable and thread-safe.
 */
public final class TimeMark {
    private final long nanos;

    private final long millis;

    /**
     * Returns the present moment.
     *
     * @param time the clocks, not null
     * @return the moment, never null
     */
    public static TimeMark now(TimeSource time) {
        return new TimeMark(time.nanoTime(), time.millis());
    }

    private TimeMark(long nanos, long millis) {
        this.nanos = nanos;
        this.millis = millis;
    }

    /**
     * Returns whether less than a period has passed since this moment, by both clocks.
     *
     * @param period the period, not null
     * @param time the clocks of the same process, not null
     * @return true if the period is not over
     */
    public boolean isWithin(Duration period, TimeSource time) {
        return time.nanoTime() - nanos < period.toNanos() && time.millis() - millis < period.toMillis();
    }

    /**
     * Returns whether this moment is after another one, by the steady clock.
     *
     * @param other a moment of the same process, not null
     * @return true if it is later
     */
    public boolean isAfter(TimeMark other) {
        return nanos - other.nanos > 0;
    }
}
