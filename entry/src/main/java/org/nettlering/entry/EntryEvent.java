package org.nettlering.entry;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The log events of the entry process; docs/EVENTS.md lists them. */
public enum EntryEvent implements LogEvent {
    /** The process serves. */
    STARTED(5001, Level.INFO, "Entry {} started: callers {}, platform {}, peers {}"),
    /** The process was told to stop. */
    STOPPING(5002, Level.INFO, "Entry stops: {} requests in flight"),
    /** The process has stopped. */
    STOPPED(5003, Level.INFO, "Entry stopped: {} requests in flight were cut off"),
    /** The configuration is confirmed for the first time, or again. */
    CONFIGURATION_FRESH(5004, Level.INFO, "Configuration revision {} is confirmed by the control members"),
    /** A new configuration is in force. */
    CONFIGURATION_APPLIED(5005, Level.INFO, "Configuration revision {} is in force"),
    /** A lower revision was offered. */
    LOWER_REVISION_REJECTED(5006, Level.ERROR, "Refused configuration revision {}: revision {} is in force"),
    /** The configuration is not confirmed any more. */
    CONFIGURATION_STALE(5007, Level.WARN, "Configuration revision {} is not confirmed any more: {}"),
    /** An announcement was refused. */
    ANNOUNCEMENT_REJECTED(5008, Level.WARN, "Refused an announcement from {}: {}"),
    /** An upstream's connections went silent and were replaced. */
    CONNECTIONS_REPLACED(5009, Level.WARN, "Replaced the connections to upstream {}: a used connection went silent"),
    /** A peer entry is not heard of any more. */
    PEER_UNREACHABLE(5010, Level.WARN, "Entry {} is not heard of any more"),
    /** A peer entry is heard of again. */
    PEER_REACHABLE(5011, Level.INFO, "Entry {} is heard of"),
    /** A request from outside was malformed. */
    MALFORMED_REQUEST_REJECTED(5012, Level.DEBUG, "Refused a request from {}: {}"),
    /** An outcome could not be stored in the ledger. */
    LEDGER_OUTCOME_NOT_STORED(5013, Level.WARN, "The outcome of a key of service {} was not stored: {}"),
    /** A fault of the program. */
    INTERNAL_ERROR(5014, Level.ERROR, "A request failed by a fault of the program"),
    /** A connection sent its request head too slowly. */
    SLOW_CONNECTION_CLOSED(5015, Level.DEBUG, "Closed the connection from {}: no whole request head in time");

    /** The number. */
    private final int number;

    /** The level. */
    private final Level level;

    /** The message. */
    private final String pattern;

    EntryEvent(int number, Level level, String pattern) {
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
