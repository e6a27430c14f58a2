package org.nettlering.entry.callers;

import java.util.Locale;
import java.util.Set;

/** Names of the HTTP headers that the entry reads or writes. */
public final class HeaderNames {
    /** How long the caller waits for a response, in milliseconds. */
    public static final String TIMEOUT_MILLIS = "Nettlering-Timeout-Millis";

    /** Whether the request is idempotent, {@code true} or {@code false}. */
    public static final String IDEMPOTENT = "Nettlering-Idempotent";

    /** The caller's key of a request that must run at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** What is known about the execution of a request that got no response of an upstream. */
    public static final String OUTCOME = "Nettlering-Outcome";

    /** The error code. */
    public static final String ERROR = "Nettlering-Error";

    /** The number of the attempt, starting at 1; sent to upstreams. */
    public static final String ATTEMPT = "Nettlering-Attempt";

    /** The id of the entry that sends the request; sent to upstreams. */
    public static final String ENTRY = "Nettlering-Entry";

    /** After how many seconds the caller may retry a rejected request. */
    public static final String RETRY_AFTER = "Retry-After";

    /** The W3C trace context. */
    public static final String TRACEPARENT = "traceparent";

    /** Headers that only the entry may write; a request of a caller that has one is rejected as forged. */
    static final Set<String> WRITTEN_BY_ENTRY =
            Set.of("nettlering-outcome", "nettlering-error", "nettlering-attempt", "nettlering-entry");

    /** Headers that a Connection header must not name, because later hops need them. */
    static final Set<String> NEVER_HOP_BY_HOP = Set.of(
            "host",
            "content-length",
            "content-type",
            "authorization",
            "cookie",
            "idempotency-key",
            "nettlering-timeout-millis",
            "nettlering-idempotent",
            "traceparent");

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-authenticate",
            "proxy-authorization",
            "proxy-connection",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "http2-settings",
            "expect");

    private HeaderNames() {}

    /**
     * Returns whether a header applies to a single connection and is not forwarded.
     *
     * @param name the name in any case, not null
     * @return true for a hop-by-hop header
     */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }
}
