package org.nettlering.runtime.log;

import java.util.Locale;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes numbered events to the log.
 *
 * <p>Each line carries the event's number as {@code NTL-1234} in the key {@code event}. Thread-safe.
 */
public final class EventLogger {
    /** Where the events go. */
    private final Logger logger;

    /**
     * Creates a logger named after a class.
     *
     * @param owner the class that logs, not null
     * @return a new logger, never null
     */
    public static EventLogger of(Class<?> owner) {
        return new EventLogger(LoggerFactory.getLogger(owner));
    }

    private EventLogger(Logger logger) {
        this.logger = logger;
    }

    /**
     * Logs an event.
     *
     * @param event the kind of event, not null
     * @param arguments the values for the pattern, in order, not null; a last throwable is logged with its stack
     */
    public void log(LogEvent event, Object... arguments) {
        LoggingEventBuilder builder = logger.atLevel(event.level()).addKeyValue("event", code(event));
        builder.log(event.pattern(), arguments);
    }

    /**
     * Returns the text form of an event's number.
     *
     * @param event the kind of event, not null
     * @return such as {@code NTL-1001}, never null
     */
    public static String code(LogEvent event) {
        return String.format(Locale.ROOT, "NTL-%04d", event.number());
    }
}
