package org.nettlering.runtime.log;

import ch.qos.logback.classic.spi.ILoggingEvent;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.locks.Condition;
import java.util.concurrent.locks.ReentrantLock;

/**
 * The lines that wait to be written.
 *
 * <p>Guarantees that it holds no more lines and no more text than its bounds, that whoever adds a line never waits for one to be
 * taken, and that lines are taken in the order in which they were added. The last eighth is kept for warnings and errors.
 * Thread-safe, for any number of threads that add and one that takes.
 */
final class LineQueue {
    /** The share of the queue that only warnings and errors use, as one part of this many. */
    private static final int RESERVED_PART = 8;

    /** Guards the fields below; nothing is written or encoded under it. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Signalled when the taker has something to do at once. */
    private final Condition arrived = lock.newCondition();

    /** Signalled when lines are done that someone waits for. */
    private final Condition done = lock.newCondition();

    /** The most lines. */
    private final int mostLines;

    /** The most text, in characters. */
    private final long mostCharacters;

    /** The lines. */
    private final ArrayDeque<ILoggingEvent> lines = new ArrayDeque<>();

    /** The text of the lines, in characters. */
    private long characters;

    /** How many lines were added. */
    private long added;

    /** How many lines the taker is done with. */
    private long finished;

    /** How many threads wait for lines to be done. */
    private int flushers;

    /** The lines that found no room since they were asked for last. */
    private long dropped;

    /** Whether no more lines come. */
    private boolean closed;

    static LineQueue of(int mostLines, long mostCharacters) {
        return new LineQueue(mostLines, mostCharacters);
    }

    private LineQueue(int mostLines, long mostCharacters) {
        this.mostLines = mostLines;
        this.mostCharacters = mostCharacters;
    }

    /** Adds a line; returns false if there is no room, and counts it then. */
    boolean offer(ILoggingEvent line, boolean urgent) {
        int length = line.getFormattedMessage().length();
        lock.lock();
        try {
            int kept = urgent ? 0 : 1;
            boolean room = lines.size() < mostLines - kept * mostLines / RESERVED_PART
                    && characters + length <= mostCharacters - kept * mostCharacters / RESERVED_PART;
            if (closed || !room) {
                dropped++;
                return false;
            }
            lines.add(line);
            characters += length;
            added++;
            if (lines.size() == 1 || lines.size() == mostLines / 2) {
                arrived.signal();
            }
            return true;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes the lines that wait, once there are some and a moment has passed in which more may come.
     *
     * @param most the most lines to take
     * @param idle how long to wait for the first line at most, not null
     * @param gather how long to wait for more, unless the queue is half full, closed or flushed, not null
     * @return the lines, empty if none came, never null
     * @throws InterruptedException if the thread is interrupted
     */
    List<ILoggingEvent> take(int most, Duration idle, Duration gather) throws InterruptedException {
        lock.lockInterruptibly();
        try {
            long idleNanos = idle.toNanos();
            while (lines.isEmpty() && !closed && idleNanos > 0) {
                idleNanos = arrived.awaitNanos(idleNanos);
            }
            long gatherNanos = lines.isEmpty() ? 0 : gather.toNanos();
            while (gatherNanos > 0 && !closed && flushers == 0 && lines.size() < mostLines / 2) {
                gatherNanos = arrived.awaitNanos(gatherNanos);
            }
            List<ILoggingEvent> taken = new ArrayList<>();
            while (taken.size() < most && !lines.isEmpty()) {
                ILoggingEvent line = lines.remove();
                characters -= line.getFormattedMessage().length();
                taken.add(line);
            }
            return taken;
        } finally {
            lock.unlock();
        }
    }

    /** Takes note that lines which were taken are written, or lost for good. */
    void finish(int count) {
        lock.lock();
        try {
            finished += count;
            if (flushers > 0) {
                done.signalAll();
            }
        } finally {
            lock.unlock();
        }
    }

    /** Waits until all lines that were added so far are done; returns false if the time was too short. */
    boolean flush(Duration timeout) {
        lock.lock();
        flushers++;
        try {
            long goal = added;
            long nanos = timeout.toNanos();
            arrived.signal();
            while (finished < goal && nanos > 0) {
                nanos = done.awaitNanos(nanos);
            }
            return finished >= goal;
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            return false;
        } finally {
            flushers--;
            lock.unlock();
        }
    }

    /** Lets no more lines in; those that wait can still be taken. */
    void close() {
        lock.lock();
        try {
            closed = true;
            arrived.signal();
        } finally {
            lock.unlock();
        }
    }

    /** Tells whether no more lines come and all were taken. */
    boolean isOver() {
        lock.lock();
        try {
            return closed && lines.isEmpty();
        } finally {
            lock.unlock();
        }
    }

    int size() {
        lock.lock();
        try {
            return lines.size();
        } finally {
            lock.unlock();
        }
    }

    /** Returns how many lines found no room since the last call. */
    long takeDropped() {
        lock.lock();
        try {
            long count = dropped;
            dropped = 0;
            return count;
        } finally {
            lock.unlock();
        }
    }
}
