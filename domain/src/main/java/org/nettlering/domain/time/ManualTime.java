package org.nettlering.domain.time;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.PriorityQueue;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * A time source that stands still until it is advanced.
 *
 * <p>For tests and seeded runs. Timers run on the thread that calls {@link #advance(Duration)}, in order of their due
 * time and, at one instant, in the order in which they were set. Thread-safe; no lock is held while a timer runs.
 */
public final class ManualTime implements TimeSource {
    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Timers that have not run, the earliest first. */
    private final PriorityQueue<Entry> entries =
            new PriorityQueue<>(Comparator.comparingLong(Entry::dueNanos).thenComparingLong(Entry::order));

    /** The instant at which the source was created. */
    private final Instant start;

    /** Nanoseconds since the start. */
    private long elapsedNanos;

    /** The order number of the next timer. */
    private long nextOrder;

    /**
     * Creates a time source that stands at the given instant.
     *
     * @param start the first value of the wall clock, not null
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
        return start.plusNanos(nanoTime());
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
            Entry entry = new Entry(elapsedNanos + Math.max(0L, delay.toNanos()), nextOrder++, task);
            entries.add(entry);
            return () -> remove(entry);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Moves time forward and runs the timers that fall due on the way.
     *
     * @param duration how far to move; not negative, not null
     */
    public void advance(Duration duration) {
        long target = nanoTime() + duration.toNanos();
        while (true) {
            Entry entry = takeDue(target);
            if (entry == null) {
                return;
            }
            entry.task().run();
        }
    }

    /**
     * Returns how many timers are set.
     *
     * @return the number of timers that have neither run nor been cancelled
     */
    public int pendingTimers() {
        lock.lock();
        try {
            return entries.size();
        } finally {
            lock.unlock();
        }
    }

    private @Nullable Entry takeDue(long target) {
        lock.lock();
        try {
            Entry entry = entries.peek();
            if (entry == null || entry.dueNanos() > target) {
                elapsedNanos = Math.max(elapsedNanos, target);
                return null;
            }
            entries.remove();
            elapsedNanos = Math.max(elapsedNanos, entry.dueNanos());
            return entry;
        } finally {
            lock.unlock();
        }
    }

    private void remove(Entry entry) {
        lock.lock();
        try {
            entries.remove(entry);
        } finally {
            lock.unlock();
        }
    }

    private record Entry(long dueNanos, long order, Runnable task) {}
}
