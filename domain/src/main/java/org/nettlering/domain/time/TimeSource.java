package org.nettlering.domain.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * A source of wall-clock time, monotonic time and timers.
 *
 * <p>Deadlines, leases and timeouts use {@link #nanoTime()}. Use wall-clock time only for display and for instants that are
 * exchanged with other processes. Implementations are thread-safe.
 */
public interface TimeSource extends InstantSource {
    /**
     * Returns the wall-clock time.
     *
     * @return the current instant, never null
     */
    @Override
    Instant instant();

    /**
     * Returns the monotonic time.
     *
     * @return nanoseconds since an arbitrary origin; compare by subtraction only
     */
    long nanoTime();

    /**
     * Schedules a task to run once after a delay.
     *
     * @param delay the delay; a negative delay counts as zero, not null
     * @param task the task, which must not block, not null
     * @return a handle that cancels the task, never null
     */
    Timer schedule(Duration delay, Runnable task);

    /** A handle to a scheduled task. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task; does nothing if it already ran or was cancelled. */
        void cancel();
    }
}
