package org.nettlering.benchmarks.leader;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.EnumMap;
import java.util.Map;
import org.nettlering.control.workflow.LoopStage;
import org.nettlering.control.workflow.LoopTimer;

/**
 * Puts the processor time of one thread down to stages; a stage within another counts for itself alone.
 *
 * <p>What reading the clock itself costs is measured at the start and taken off. Not thread-safe.
 */
final class StageClock implements LoopTimer {
    private static final int CALIBRATION_READS = 20_000;
    private static final ThreadMXBean THREADS = ManagementFactory.getThreadMXBean();

    /** The processor time of each stage, in nanoseconds. */
    private final Map<Stage, Long> spent = new EnumMap<>(Stage.class);

    /** How often each stage was entered. */
    private final Map<Stage, Long> entered = new EnumMap<>(Stage.class);

    /** The longest time under the lock at once, in nanoseconds of the processor, by stage. */
    private final Map<Stage, Long> longestHold = new EnumMap<>(Stage.class);

    /** The stages under way, the innermost first. */
    private final Deque<Stage> open = new ArrayDeque<>();

    /** What one reading of the clock costs, in nanoseconds. */
    private final long readNanos;

    /** When the time was last put down to a stage. */
    private long lastNanos;

    /** When the present hold of the lock began. */
    private long holdNanos;

    StageClock() {
        long before = THREADS.getCurrentThreadCpuTime();
        for (int read = 0; read < CALIBRATION_READS; read++) {
            lastNanos = THREADS.getCurrentThreadCpuTime();
        }
        readNanos = (lastNanos - before) / CALIBRATION_READS;
    }

    /** Returns what one reading of the clock costs, in nanoseconds. */
    long readNanos() {
        return readNanos;
    }

    void enter(Stage stage) {
        putDown();
        open.push(stage);
        entered.merge(stage, 1L, Long::sum);
    }

    void leave() {
        putDown();
        open.pop();
    }

    /** Runs something as a stage. */
    void run(Stage stage, Runnable work) {
        enter(stage);
        try {
            work.run();
        } finally {
            leave();
        }
    }

    private void putDown() {
        long now = THREADS.getCurrentThreadCpuTime();
        Stage top = open.peek();
        if (top != null) {
            spent.merge(top, Math.max(0, now - lastNanos - readNanos), Long::sum);
        }
        lastNanos = now;
    }

    @Override
    public void stageStarted(LoopStage stage) {
        Stage around = open.peek();
        enter(Stage.of(stage, around == null ? Stage.LOOP : around));
        holdNanos = lastNanos;
    }

    @Override
    public void stageEnded(LoopStage stage) {
        Stage ending = open.getFirst();
        leave();
        longestHold.merge(ending, lastNanos - holdNanos, Math::max);
    }

    /** Forgets what was measured so far. */
    void reset() {
        spent.clear();
        entered.clear();
        longestHold.clear();
    }

    long spentNanos(Stage stage) {
        return spent.getOrDefault(stage, 0L);
    }

    long entered(Stage stage) {
        return entered.getOrDefault(stage, 0L);
    }

    long longestHoldNanos(Stage stage) {
        return longestHold.getOrDefault(stage, 0L);
    }
}
