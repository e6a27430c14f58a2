package org.nettlering.runtime.log;

import org.slf4j.event.Level;

/**
 * A numbered kind of log event.
 *
 * <p>Each module has one enum that implements this interface; the number of an event never changes its meaning. Ranges:
 * 1000 runtime, 2000 wire, 3000 control, 4000 consensus, 5000 entry, 6000 operator, 7000 stand-ins.
 */
public interface LogEvent {
    /**
     * Returns the number of the event.
     *
     * @return a number that is unique in the project
     */
    int number();

    /**
     * Returns the level at which the event is logged.
     *
     * @return the level, never null
     */
    Level level();

    /**
     * Returns the message, with {@code {}} for each argument.
     *
     * @return the SLF4J message pattern, never null
     */
    String pattern();

    /**
     * Returns how many lines of this event a process writes in a second at most.
     *
     * @return the budget, or {@link LineBudget#UNLIMITED}; an event of level {@code ERROR} is never cut
     */
    default int linesPerSecond() {
        return LineBudget.ordinary(level());
    }
}
