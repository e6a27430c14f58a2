package org.nettlering.runtime.log;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.nettlering.domain.time.TimeSource;
import org.slf4j.event.Level;

/**
 * How many lines of each event are written in a second.
 *
 * <p>Guarantees that no event takes more lines in a second of the monotonic clock than its budget, that whatever is left out is
 * counted, and that one event's lines never use up the budget of another. Thread-safe; takes no lock.
 */
public final class LineBudget {
    /** The budget of an event that is never cut, in lines a second. */
    public static final int UNLIMITED = Integer.MAX_VALUE;

    /** The budget of an event of the life of a job, in lines a second: several times what one leader starts and ends. */
    public static final int JOB_LIFE = 5_000;

    /** The budget of any other event that people act on, in lines a second. */
    static final int ORDINARY = 100;

    /** The budget of an event that traces single orders or is logged only on request, in lines a second. */
    public static final int DETAIL = 1_000;

    /** The place of the second in {@link Window#state}, above the count of its lines, in bits. */
    private static final int SECOND_SHIFT = 32;

    /** The clock. */
    private final TimeSource time;

    /** The monotonic time at which the first second began. */
    private final long originNanos;

    /** The events that were logged. */
    private final Map<LogEvent, Window> windows = new ConcurrentHashMap<>();

    /** The second in which it was told last what was left out. */
    private final AtomicLong toldSecond = new AtomicLong();

    /** All lines that were left out since the start. */
    private final LongAdder allLeftOut = new LongAdder();

    /**
     * Creates budgets of which nothing is used.
     *
     * @param time the clock, not null
     * @return new budgets, never null
     */
    public static LineBudget of(TimeSource time) {
        return new LineBudget(time);
    }

    private LineBudget(TimeSource time) {
        this.time = time;
        originNanos = time.nanoTime();
    }

    /** Returns the budget of an event of a level that names none. */
    static int ordinary(Level level) {
        return switch (level) {
            case ERROR -> UNLIMITED;
            case WARN, INFO -> ORDINARY;
            case DEBUG, TRACE -> DETAIL;
        };
    }

    /**
     * Takes a line from the budget of an event.
     *
     * @param event the kind of event, not null
     * @return false if the budget of this second is used up; the line is counted as left out then
     */
    public boolean permits(LogEvent event) {
        int limit = event.linesPerSecond();
        if (limit == UNLIMITED || event.level() == Level.ERROR) {
            return true;
        }
        Window window = windows.computeIfAbsent(event, first -> new Window());
        if (window.take(second(), limit)) {
            return true;
        }
        window.leftOut.increment();
        allLeftOut.increment();
        return false;
    }

    /** Makes the whole budget of each event available again; what was left out and not told is forgotten. */
    void reset() {
        windows.clear();
    }

    private long second() {
        return TimeUnit.NANOSECONDS.toSeconds(time.nanoTime() - originNanos);
    }

    /**
     * Returns how many lines were left out since the start.
     *
     * @return the number of lines, of all events
     */
    public long leftOut() {
        return allLeftOut.sum();
    }

    /**
     * Returns what was left out since it was told last, once a second.
     *
     * @return the events that lost lines, empty if this was asked in the same second before, never null
     */
    public List<LeftOut> takeLeftOut() {
        long second = second();
        return toldSecond.getAndSet(second) == second ? List.of() : takeAllLeftOut();
    }

    /**
     * Returns what was left out since it was told last, at any time.
     *
     * @return the events that lost lines, never null
     */
    public List<LeftOut> takeAllLeftOut() {
        List<LeftOut> lost = new ArrayList<>();
        windows.forEach((event, window) -> {
            long lines = window.leftOut.sumThenReset();
            if (lines > 0) {
                lost.add(new LeftOut(event, lines));
            }
        });
        return lost;
    }

    /**
     * Lines of one event that were left out.
     *
     * @param event the kind of event, not null
     * @param lines how many
     */
    public record LeftOut(LogEvent event, long lines) {}

    /** The lines of one event in the present second. */
    private static final class Window {
        /** The second, and in the low half how many lines it took. */
        private final AtomicLong state = new AtomicLong();

        /** The lines that were left out and not told yet. */
        private final LongAdder leftOut = new LongAdder();

        boolean take(long second, int limit) {
            while (true) {
                long seen = state.get();
                boolean same = seen >>> SECOND_SHIFT == second;
                long taken = same ? seen & 0xFFFF_FFFFL : 0;
                if (taken >= limit) {
                    return false;
                }
                if (state.compareAndSet(seen, second << SECOND_SHIFT | taken + 1)) {
                    return true;
                }
            }
        }
    }
}
