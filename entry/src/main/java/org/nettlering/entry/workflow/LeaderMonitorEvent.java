package org.nettlering.entry.workflow;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The numbered events of an entry's way to the leader; docs/EVENTS.md explains each. */
public enum LeaderMonitorEvent implements LogEvent {
    /** A leader is reached again, or for the first time. */
    LEADER_REACHED(5101, Level.INFO, "a control leader is reached"),
    /** No leader was reached for a while. */
    LEADER_LOST(5102, Level.WARN, "no control leader was reached for {} ms: {}");

    /** The number. */
    private final int number;

    /** The level. */
    private final Level level;

    /** The message. */
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
