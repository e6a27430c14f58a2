package org.nettlering.domain.error;

import java.util.Locale;

/**
 * The stable code of an error, as it appears in logs, HTTP answers and on standard error.
 *
 * <p>A code keeps its meaning for ever; a code that is no longer used is not given to another error. Immutable and
 * thread-safe.
 */
public enum ErrorCode {
    /** A value or message from outside is malformed. */
    INVALID_ARGUMENT(400),
    /** A settings file has one or more faults. */
    INVALID_SETTINGS(400),
    /** The named thing does not exist. */
    NOT_FOUND(404),
    /** The expected revision is not the current one. */
    REVISION_CONFLICT(409),
    /** An operation id or idempotency key was used before with other content. */
    OPERATION_REUSED(409),
    /** A configuration change is inconsistent as a whole. */
    INVALID_CONFIGURATION(422),
    /** The member asked is not the leader. */
    NOT_LEADER(503),
    /** No leader answered in time, and the request had no effect. */
    NO_LEADER(503),
    /** The request may or may not have taken effect. */
    OUTCOME_UNKNOWN(504),
    /** A deadline passed before the answer. */
    DEADLINE_EXCEEDED(504),
    /** The request was refused because of load. */
    OVERLOADED(503),
    /** The process is stopping. */
    STOPPING(503),
    /** The process does not know that its configuration is fresh. */
    CONFIGURATION_STALE(503),
    /** No route matches the request. */
    NO_ROUTE(404),
    /** No serving upstream is known for the service. */
    NO_UPSTREAM(503),
    /** The upstream failed before its answer was complete. */
    UPSTREAM_FAILED(502),
    /** A message exceeds its size limit. */
    TOO_LARGE(413),
    /** A peer belongs to another cluster or speaks another protocol version. */
    WRONG_CLUSTER(403),
    /** A connection was lost or never made. */
    CONNECTION_LOST(503),
    /** Stored data is corrupt. */
    STORAGE_CORRUPT(500),
    /** Stored data could not be written or synced. */
    STORAGE_FAILED(500),
    /** The data folder is in use by another process. */
    STORAGE_LOCKED(500),
    /** The data was written by a newer version of the program. */
    STORAGE_TOO_NEW(500),
    /** A change of membership was refused because it would lose data or availability. */
    MEMBERSHIP_REFUSED(409),
    /** The request ran before, but its answer is no longer kept. */
    ANSWER_NOT_KEPT(410),
    /** A fault of the program itself. */
    INTERNAL(500);

    /** The HTTP status that goes with the code. */
    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Finds the code with the given text.
     *
     * @param text the text, such as {@code not-leader}, not null
     * @return the code, or {@link #INTERNAL} for a text that no code has, never null
     */
    public static ErrorCode fromText(String text) {
        for (ErrorCode code : values()) {
            if (code.text().equals(text)) {
                return code;
            }
        }
        return INTERNAL;
    }

    /**
     * Finds a code by its text.
     *
     * @param text such as {@code not-leader}, not null
     * @return the code, or {@code INTERNAL} if a newer program sent one that is not known here, never null
     */
    public static ErrorCode parse(String text) {
        for (ErrorCode code : values()) {
            if (code.text().equals(text)) {
                return code;
            }
        }
        return INTERNAL;
    }

    /**
     * Returns the HTTP status that goes with the code.
     *
     * @return a status from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the code as users see it, such as {@code not-leader}.
     *
     * @return the lower-case text, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
