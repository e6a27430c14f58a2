package org.nettlering.runtime.program;

import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.RuntimeEvent;

/**
 * Logs what threads and timers throw that nobody handles, and ends the process if it is an error.
 *
 * <p>An exception costs what was under way; after an error, such as a stack overflow or a lack of memory, what else is dead
 * isn't known. Thread-safe.
 */
final class UncaughtFailures implements Thread.UncaughtExceptionHandler {
    private static final EventLogger LOG = EventLogger.of(UncaughtFailures.class);

    /** Ends the process. */
    private final Runnable end;

    /**
     * Creates a handler.
     *
     * @param end ends the process, not null
     * @return the handler, never null
     */
    static UncaughtFailures of(Runnable end) {
        return new UncaughtFailures(end);
    }

    private UncaughtFailures(Runnable end) {
        this.end = end;
    }

    @Override
    public void uncaughtException(Thread thread, Throwable failure) {
        try {
            LOG.log(RuntimeEvent.UNCAUGHT, thread.getName(), failure);
        } finally {
            if (failure instanceof Error) {
                end.run();
            }
        }
    }
}
