package org.nettlering.domain.error;

import java.util.Locale;

/**
 * The stable code of an error, as it appears in logs, in HTTP responses and on standard error.
 *
 * <p>The meaning of a code never changes, and the code of a removed error is never reused. Immutable and thread-safe.
 */
public enum ErrorCode {
    /** An external value or message is malformed. */
    INVALID_ARGUMENT(400),
    /** A settings file has one or more errors. */
    INVALID_SETTINGS(400),
    /** The named object does not exist. */
    NOT_FOUND(404),
    /** The expected revision is not the current one. */
    REVISION_CONFLICT(409),
    /** An operation id or idempotency key was reused with different content. */
    OPERATION_REUSED(409),
    /** A configuration change is inconsistent as a whole. */
    INVALID_CONFIGURATION(422),
    /** The member that received the request is not the leader. */
    NOT_LEADER(503),
    /** No leader responded in time; the request had no effect. */
    NO_LEADER(503),
    /** The request may or may not have taken effect. */
    OUTCOME_UNKNOWN(504),
    /** The deadline passed before the response arrived. */
    DEADLINE_EXCEEDED(504),
    /** The request was rejected because of overload. */
    OVERLOADED(503),
    /** The process is shutting down. */
    STOPPING(503),
    /** The process cannot confirm that its configuration is up to date. */
    CONFIGURATION_STALE(503),
    /** No route matches the request. */
    NO_ROUTE(404),
    /** No upstream is available for the service. */
    NO_UPSTREAM(503),
    /** The upstream failed before its response was complete. */
    UPSTREAM_FAILED(502),
    /** A message exceeds its size limit. */
    TOO_LARGE(413),
    /** A peer belongs to another cluster or speaks another protocol version. */
    WRONG_CLUSTER(403),
    /** A connection was lost or could not be established. */
    CONNECTION_LOST(503),
    /** Stored data is corrupt. */
    STORAGE_CORRUPT(500),
    /** Stored data could not be written or synced. */
    STORAGE_FAILED(500),
    /** The disk refused a write, for example because it is full; nothing of it was stored, and it may be tried again. */
    STORAGE_FULL(500),
    /** The data folder is in use by another process. */
    STORAGE_LOCKED(500),
    /** The data was written by a newer version of the program. */
    STORAGE_TOO_NEW(500),
    /** A membership change was rejected because it would lose data or availability. */
    MEMBERSHIP_REFUSED(409),
    /** The request was executed before, but its response is no longer stored. */
    ANSWER_NOT_KEPT(410),
    /** An internal error of the program. */
    INTERNAL(500);

    private final int httpStatus;

    ErrorCode(int httpStatus) {
        this.httpStatus = httpStatus;
    }

    /**
     * Returns the code with the given text.
     *
     * @param text the text, such as {@code not-leader}, not null
     * @return the code, or {@link #INTERNAL} if the text is unknown, never null
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
     * Parses the text of a code.
     *
     * @param text the text, such as {@code not-leader}, not null
     * @return the code, or {@link #INTERNAL} if it is unknown because a newer version sent it, never null
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
     * Returns the HTTP status for the code.
     *
     * @return a status from 400 to 599
     */
    public int httpStatus() {
        return httpStatus;
    }

    /**
     * Returns the text of the code, such as {@code not-leader}.
     *
     * @return the lower-case text with hyphens, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
