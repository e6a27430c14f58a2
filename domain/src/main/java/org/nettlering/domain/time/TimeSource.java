package org.nettlering.domain.time;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;

/**
 * The port for wall-clock time, monotonic time and timers.
 *
 * <p>Deadlines, leases and timeouts use {@link #nanoTime()}; the wall clock is for what people read and for instants that
 * other processes must understand. Implementations are thread-safe.
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
     * Runs a task once after a delay.
     *
     * @param delay how long to wait; a negative delay counts as zero, not null
     * @param task what to run; it must not block, not null
     * @return a handle that cancels the task, never null
     */
    Timer schedule(Duration delay, Runnable task);

    /** A handle to a task that was scheduled. */
    @FunctionalInterface
    interface Timer {
        /** Cancels the task; does nothing if it already ran or was already cancelled. */
        void cancel();
    }
}
