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
     * Returns the moment that was a given time before this one.
     *
     * @param age the time between the two, not negative, not null
     * @return the earlier moment, never null
     */
    public TimeMark before(Duration age) {
        return new TimeMark(nanos - age.toNanos(), millis - age.toMillis());
    }

    /**
     * Returns how long ago this moment was, by the clock by which it was longer ago.
     *
     * @param time the clocks of the same process, not null
     * @return the time that has passed, never null
     */
    public Duration elapsed(TimeSource time) {
        Duration bySteadyClock = Duration.ofNanos(time.nanoTime() - nanos);
        Duration byTimeOfDay = Duration.ofMillis(time.millis() - millis);
        return bySteadyClock.compareTo(byTimeOfDay) > 0 ? bySteadyClock : byTimeOfDay;
    }

    /**
     * Returns whether less than a period has passed since this moment by the steady clock, on which a suspension of the host
     * does not count. For what must not be forgotten too early.
     *
     * @param period the period, not null
     * @param time the clocks of the same process, not null
     * @return true if the period is not over
     */
    public boolean isWithinSteady(Duration period, TimeSource time) {
        return time.nanoTime() - nanos < period.toNanos();
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
