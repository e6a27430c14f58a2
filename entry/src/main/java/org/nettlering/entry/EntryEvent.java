package org.nettlering.entry;

import org.nettlering.runtime.log.LogEvent;
import org.slf4j.event.Level;

/** The log events of the entry process; docs/EVENTS.md lists them. */
public enum EntryEvent implements LogEvent {
    STARTED(5001, Level.INFO, "Entry {} started: callers port {}, platform port {}, callers address {}"),
    STOPPING(5002, Level.INFO, "Entry is shutting down: {} requests in flight"),
    STOPPED(5003, Level.INFO, "Entry stopped: {} requests in flight were aborted"),
    /** The configuration was confirmed for the first time, or again after it was stale. */
    CONFIGURATION_FRESH(5004, Level.INFO, "Configuration revision {} is confirmed by the control members"),
    CONFIGURATION_APPLIED(5005, Level.INFO, "Applied configuration revision {}"),
    LOWER_REVISION_REJECTED(
            5006, Level.ERROR, "Rejected configuration revision {}: it is lower than the applied revision {}"),
    /** The last confirmation of the configuration is older than the freshness period. */
    CONFIGURATION_STALE(5007, Level.WARN, "Configuration revision {} is no longer confirmed: {}"),
    ANNOUNCEMENT_REJECTED(5008, Level.WARN, "Rejected an announcement from {}: {}"),
    /** The connections to an upstream were replaced because one was unresponsive. */
    CONNECTIONS_REPLACED(
            5009, Level.WARN, "Replaced the connections to upstream {}: a connection in use became unresponsive"),
    PEER_UNREACHABLE(5010, Level.WARN, "Peer entry {} is unreachable"),
    PEER_REACHABLE(5011, Level.INFO, "Peer entry {} is reachable"),
    /** A request of a caller was malformed or exceeded a limit. */
    INVALID_REQUEST_REJECTED(5012, Level.DEBUG, "Rejected an invalid request from {}: {}"),
    /** The outcome of a request with an idempotency key could not be stored in the ledger. */
    LEDGER_OUTCOME_NOT_STORED(
            5013, Level.WARN, "The outcome of an idempotency key of service {} was not stored in the ledger: {}"),
    INTERNAL_ERROR(5014, Level.ERROR, "A request failed because of an internal error"),
    /** A connection did not send a complete request head before the timeout. */
    SLOW_CONNECTION_CLOSED(
            5015, Level.DEBUG, "Closed the connection from {}: the request head was not complete before the timeout"),
    /** One run of a periodic task failed unexpectedly; its next run comes at its time. */
    PERIODIC_TASK_FAILED(5016, Level.ERROR, "One run of a periodic task failed because of an internal error"),
    /** A response of another entry could not be processed to its end. */
    GOSSIP_RESPONSE_DROPPED(5017, Level.WARN, "Dropped the rest of a response of entry {}: {}");

    private final int number;
    private final Level level;
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
