package org.nettlering.domain.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * A time source for tests and simulations that changes only when it is advanced.
 *
 * <p>Timers run on the thread that calls {@link #advance(Duration)}, ordered by due time and, for equal due times, in the
 * order in which they were scheduled. Thread-safe; no lock is held while a timer runs.
 */
public final class ManualTime implements TimeSource {
    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Timers that have neither run nor been cancelled, earliest first. */
    private final PriorityQueue<ScheduledTask> scheduledTasks = new PriorityQueue<>(
            Comparator.comparingLong(ScheduledTask::dueNanos).thenComparingLong(ScheduledTask::sequence));

    private final Instant start;

    private long elapsedNanos;

    /** For how long the host was suspended, which only the time of day counts. */
    private Duration suspended = Duration.ZERO;

    /** The sequence number of the next timer; orders timers with equal due times. */
    private long nextSequence;

    /**
     * Creates a time source that starts at the given instant.
     *
     * @param start the initial wall-clock time, not null
     * @return a new time source, never null
     */
    public static ManualTime startingAt(Instant start) {
        return new ManualTime(start);
    }

    private ManualTime(Instant start) {
        this.start = start;
    }

    @Override
    public Instant instant() {
        lock.lock();
        try {
            return start.plusNanos(elapsedNanos).plus(suspended);
        } finally {
            lock.unlock();
        }
    }

    @Override
    public long nanoTime() {
        lock.lock();
        try {
            return elapsedNanos;
        } finally {
            lock.unlock();
        }
    }

    @Override
    public Timer schedule(Duration delay, Runnable task) {
        lock.lock();
        try {
            ScheduledTask scheduled =
                    new ScheduledTask(elapsedNanos + Math.max(0L, delay.toNanos()), nextSequence++, task);
            scheduledTasks.add(scheduled);
            return () -> remove(scheduled);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Advances the time and runs all timers that become due.
     *
     * @param duration the duration to advance by, not negative, not null
     */
    public void advance(Duration duration) {
        long targetNanos = nanoTime() + duration.toNanos();
        while (true) {
            ScheduledTask scheduled = pollDueTask(targetNanos);
            if (scheduled == null) {
                return;
            }
            scheduled.task().run();
        }
    }

    /**
     * Suspends the host: the time of day advances, while the steady clock and the timers stand still.
     *
     * @param duration the duration of the suspension, not negative, not null
     */
    public void suspend(Duration duration) {
        lock.lock();
        try {
            suspended = suspended.plus(duration);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the number of pending timers.
     *
     * @return the number of timers that have neither run nor been cancelled
     */
    public int pendingTimers() {
        lock.lock();
        try {
            return scheduledTasks.size();
        } finally {
            lock.unlock();
        }
    }

    private @Nullable ScheduledTask pollDueTask(long targetNanos) {
        lock.lock();
        try {
            ScheduledTask scheduled = scheduledTasks.peek();
            if (scheduled == null || scheduled.dueNanos() > targetNanos) {
                elapsedNanos = Math.max(elapsedNanos, targetNanos);
                return null;
            }
            scheduledTasks.remove();
            elapsedNanos = Math.max(elapsedNanos, scheduled.dueNanos());
            return scheduled;
        } finally {
            lock.unlock();
        }
    }

    private void remove(ScheduledTask scheduled) {
        lock.lock();
        try {
            scheduledTasks.remove(scheduled);
        } finally {
            lock.unlock();
        }
    }

    private record ScheduledTask(long dueNanos, long sequence, Runnable task) {}
}
