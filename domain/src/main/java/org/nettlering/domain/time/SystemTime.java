package org.nettlering.domain.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * A time source that uses the system clocks.
 *
 * <p>Timers run on a single daemon thread. What a timer throws goes to the uncaught exception handler of that thread, and the
 * other timers go on. Thread-safe.
 */
public final class SystemTime implements TimeSource, AutoCloseable {
    private final ScheduledThreadPoolExecutor executor;

    /**
     * Creates a time source with its own timer thread.
     *
     * @param threadName the name of the timer thread, not null
     * @return a new time source, never null
     */
    public static SystemTime create(String threadName) {
        return new SystemTime(threadName);
    }

    private SystemTime(String threadName) {
        executor = new ScheduledThreadPoolExecutor(
                1, Thread.ofPlatform().daemon(true).name(threadName).factory());
        executor.setRemoveOnCancelPolicy(true);
    }

    @Override
    public Instant instant() {
        return Instant.now();
    }

    @Override
    public long nanoTime() {
        return System.nanoTime();
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        ScheduledFuture<?> future =
                executor.schedule(() -> run(task), Math.max(0L, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    private static void run(Runnable task) {
        try {
            task.run();
        } catch (Throwable failure) {
            Thread thread = Thread.currentThread();
            thread.getUncaughtExceptionHandler().uncaughtException(thread, failure);
        }
    }

    /** Stops the timer thread and discards all pending timers. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
