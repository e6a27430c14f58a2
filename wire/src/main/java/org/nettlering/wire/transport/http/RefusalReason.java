package org.nettlering.wire.transport.http;

import java.util.Locale;

/** Why a server refused a request or closed a connection. The names appear in metrics and logs. */
public enum RefusalReason {
    /** The head is larger than the operator allows. */
    HEAD_TOO_LARGE,
    /** The body is larger than allowed, as announced or as received. */
    BODY_TOO_LARGE,
    /** The requests in progress take as much memory as they may. */
    NO_MEMORY,
    /** The request was received too slowly while others needed its memory. */
    TOO_SLOW,
    /** The head was not complete in time. */
    HEAD_TIMEOUT,
    /** The body was not complete in time. */
    BODY_TIMEOUT,
    /** No request came for a while. */
    IDLE,
    /** The responses were not read for a while. */
    RESPONSE_NOT_READ,
    /** Another connection took the place of this one, which was unused or slow, or all others were in use. */
    TOO_MANY_CONNECTIONS;

    /**
     * Returns the value of the label {@code reason} of metrics.
     *
     * @return the name in lower case, never null
     */
    public String label() {
        return name().toLowerCase(Locale.ROOT);
    }

    /**
     * Returns whether the reason shows that a client does not behave; idle connections are ordinary.
     *
     * @return true unless the connection was just idle
     */
    boolean isWorthALine() {
        return this != IDLE;
    }
}
