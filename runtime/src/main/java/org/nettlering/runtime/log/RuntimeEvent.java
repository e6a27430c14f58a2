package org.nettlering.runtime.log;

import org.slf4j.event.Level;

/** The log events that every program shares; docs/EVENTS.md gives cause and remedy of each. */
public enum RuntimeEvent implements LogEvent {
    /** A program runs. */
    STARTED(1001, Level.INFO, "{} started in {} ms"),
    /** A program was told to stop. */
    STOPPING(1002, Level.INFO, "{} is stopping"),
    /** A program has stopped. */
    STOPPED(1003, Level.INFO, "{} stopped"),
    /** A program could not start. */
    START_FAILED(1004, Level.ERROR, "{} could not start"),
    /** A stop did not end cleanly. */
    STOP_FAILED(1005, Level.ERROR, "{} did not stop cleanly"),
    /** A span ended. */
    SPAN(1006, Level.INFO, "span {} trace {} id {} parent {} took {} us {}"),
    /** The settings were read again. */
    RELOADED(1007, Level.INFO, "{} read its settings again"),
    /** The settings could not be read again. */
    RELOAD_FAILED(1008, Level.WARN, "{} keeps its settings: {}"),
    /** The signal to read the settings again is not taken. */
    NO_RELOAD(1009, Level.WARN, "SIGHUP is not handled here"),
    /** Lines found no room as the output stood still or was too slow. */
    LINES_DROPPED(1010, Level.WARN, "{} lines were dropped: the output of the log is too slow"),
    /** Lines of one event were left out. */
    LINES_LEFT_OUT(1011, Level.INFO, "{} lines of {} were left out: its budget of a second was used up"),
    /** A thread or timer ended with an exception that nobody handled. */
    UNCAUGHT(1012, Level.ERROR, "thread {} ended or lost a timer by an exception that nobody handles");

    /** The number of the event. */
    private final int number;

    /** The level at which it is logged. */
    private final Level level;

    /** The SLF4J message pattern. */
    private final String pattern;

    RuntimeEvent(int number, Level level, String pattern) {
        this.number = number;
        this.level = level;
        this.pattern = pattern;
    }

    @Override
    public int number() {
        return number;
    }

    @Override
    public Level level() {
        return level;
    }

    @Override
    public String pattern() {
        return pattern;
    }

    @Override
    public int linesPerSecond() {
        return this == SPAN ? LineBudget.JOB_LIFE : LogEvent.super.linesPerSecond();
    }
}
