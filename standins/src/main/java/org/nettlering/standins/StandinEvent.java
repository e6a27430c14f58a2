package org.nettlering.standins;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The log events of the stand-ins. */
public enum StandinEvent implements LogEvent {
    /** A stand-in accepts connections. */
    LISTENING(7001, Level.INFO, "{} {} listens on {}"),
    /** No entry took an announcement. */
    ANNOUNCEMENT_FAILED(7002, Level.WARN, "entry {} did not take the announcement of {}: {}"),
    /** No entry answered a worker's report. */
    REPORT_FAILED(7003, Level.WARN, "entry {} did not answer the report of worker {}: {}"),
    /** A worker ended its tasks because its lease ran out. */
    LEASE_EXPIRED(7004, Level.WARN, "worker {} stopped {} tasks: its lease has run out");

    /** The number of the event. */
    private final int number;

    /** The level at which it is logged. */
    private final Level level;

    /** The message pattern. */
    private final String pattern;

    StandinEvent(int number, Level level, String pattern) {
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
}
