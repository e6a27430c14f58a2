package org.nettlering.runtime.log;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicReference;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/** The log's way out of this process: what waits, what was lost, and how to have the rest written. Thread-safe. */
public final class LogOutput {
    /** How long a flush waits at most before the process ends. */
    private static final Duration FLUSH_TIMEOUT = Duration.ofMillis(500);

    /** The queue in use, or null while lines are written by whoever logs. */
    private static final AtomicReference<@Nullable LineQueue> QUEUE = new AtomicReference<>();

    /** The lines that found the queue full or the output gone. */
    private static final LongAdder DROPPED = new LongAdder();

    private LogOutput() {}

    /** Takes the queue of standard output; what waits there when the process ends in an orderly way is written. */
    static void use(LineQueue queue) {
        if (QUEUE.getAndSet(queue) == null) {
            Runtime.getRuntime()
                    .addShutdownHook(Thread.ofPlatform().name("log-flush").unstarted(LogOutput::flush));
        }
    }

    static void dropped() {
        DROPPED.increment();
    }

    /**
     * Waits until the lines that were logged so far are written, for a bounded time; before an end that runs no hooks.
     *
     * @return false if the output stands still
     */
    public static boolean flush() {
        LineQueue queue = QUEUE.get();
        return queue == null || queue.flush(FLUSH_TIMEOUT);
    }

    /**
     * Returns how many lines were dropped since the start.
     *
     * @return the lines that found the queue full or the output gone
     */
    public static long droppedLines() {
        return DROPPED.sum();
    }

    /**
     * Returns how many lines wait.
     *
     * @return the lines in the queue
     */
    public static int waitingLines() {
        LineQueue queue = QUEUE.get();
        return queue == null ? 0 : queue.size();
    }
}
