package org.nettlering.runtime.log;

import java.util.Locale;
import java.util.Map;
import org.nettlering.domain.time.SystemTime;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.slf4j.spi.LoggingEventBuilder;

/**
 * Writes numbered events to the log.
 *
 * <p>Each line carries the event's number as {@code NTL-1234} in the key {@code event}. Thread-safe.
 */
public final class EventLogger {
    /** The first number of which the text needs no zeros before it. */
    private static final int FIRST_WITH_ALL_DIGITS = 1_000;

    /** How many lines of each event are written in a second; shared by the process. */
    private static final LineBudget BUDGET = LineBudget.of(SystemTime.create("log-timers"));

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

    /** Makes the budgets of all events whole again, which the tests of one process would otherwise use up for each other. */
    public static void resetBudgets() {
        BUDGET.reset();
    }

    /**
     * Logs an event, unless its level is off or its lines of this second are used up.
     *
     * @param event the kind of event, not null
     * @param arguments the values for the pattern, in order, not null; a last throwable is logged with its stack
     */
    public void log(LogEvent event, Object... arguments) {
        logWithFields(event, Map.of(), arguments);
    }

    /**
     * Logs an event with values of their own beside its message, unless its level is off or its lines of this second are used
     * up.
     *
     * @param event the kind of event, not null
     * @param fields the values by name, in the order of the line; a name tells the unit, not null
     * @param arguments the values for the pattern, in order, not null; a last throwable is logged with its stack
     */
    public void logWithFields(LogEvent event, Map<String, ?> fields, Object... arguments) {
        if (!logger.isEnabledForLevel(event.level()) || !BUDGET.permits(event)) {
            return;
        }
        LoggingEventBuilder builder = logger.atLevel(event.level()).addKeyValue("event", code(event));
        for (Map.Entry<String, ?> field : fields.entrySet()) {
            builder = builder.addKeyValue(field.getKey(), field.getValue());
        }
        builder.log(event.pattern(), arguments);
    }

    /**
     * Returns the text form of an event's number.
     *
     * @param event the kind of event, not null
     * @return such as {@code NTL-1001}, never null
     */
    public static String code(LogEvent event) {
        int number = event.number();
        return number >= FIRST_WITH_ALL_DIGITS ? "NTL-" + number : String.format(Locale.ROOT, "NTL-%04d", number);
    }

    /** Returns the budget that all loggers of the process share. */
    static LineBudget budget() {
        return BUDGET;
    }

    /**
     * Returns how many lines were left out since the start, as their event's budget of a second was used up.
     *
     * @return the number of lines, of all events
     */
    public static long leftOutLines() {
        return BUDGET.leftOut();
    }
}
