package org.nettlering.entry.workflow;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** Log events of the connection from an entry to the control leader; docs/EVENTS.md explains each. */
public enum LeaderMonitorEvent implements LogEvent {
    /** A leader responded for the first time, or again after {@link #LEADER_LOST}. */
    LEADER_REACHED(5101, Level.INFO, "the control leader is reachable"),
    /** No leader has responded within the freshness timeout. */
    LEADER_LOST(5102, Level.WARN, "no control leader has responded for {} ms: {}");
    private final int number;
    private final Level level;
    private final String pattern;

    LeaderMonitorEvent(int number, Level level, String pattern) {
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
