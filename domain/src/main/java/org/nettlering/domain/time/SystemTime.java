package org.nettlering.domain.time;

import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/**
 * The time of the running machine.
 *
 * <p>Timers run on one daemon thread. Thread-safe.
 */
public final class SystemTime implements TimeSource, AutoCloseable {
    /** Runs the timers. */
    private final ScheduledThreadPoolExecutor executor;

    /**
     * Creates a time source with a timer thread of its own.
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
        ScheduledFuture<?> future = executor.schedule(task, Math.max(0L, delay.toNanos()), TimeUnit.NANOSECONDS);
        return () -> future.cancel(false);
    }

    /** Stops the timer thread; tasks that have not run are dropped. */
    @Override
    public void close() {
        executor.shutdownNow();
    }
}
