package org.nettlering.entry.callers;

import java.util.Locale;
import java.util.Set;

/** The names of the headers that the entry reads or writes. */
public final class HeaderNames {
    /** How long the caller waits, in milliseconds. */
    public static final String TIMEOUT_MILLIS = "Nettlering-Timeout-Millis";

    /** Whether running the request twice does no harm. */
    public static final String IDEMPOTENT = "Nettlering-Idempotent";

    /** The caller's key of a request that must run at most once. */
    public static final String IDEMPOTENCY_KEY = "Idempotency-Key";

    /** What is known of a request without an upstream's answer. */
    public static final String OUTCOME = "Nettlering-Outcome";

    /** The code of the error. */
    public static final String ERROR = "Nettlering-Error";

    /** The number of the attempt, towards upstreams. */
    public static final String ATTEMPT = "Nettlering-Attempt";

    /** The entry that sends the request, towards upstreams. */
    public static final String ENTRY = "Nettlering-Entry";

    /** When a refused caller may come back, in seconds. */
    public static final String RETRY_AFTER = "Retry-After";

    /** The W3C trace context. */
    public static final String TRACEPARENT = "traceparent";

    /** Headers that only the entry writes; a caller that sends one forges it. */
    static final Set<String> WRITTEN_BY_ENTRY =
            Set.of("nettlering-outcome", "nettlering-error", "nettlering-attempt", "nettlering-entry");

    /** Headers that a Connection header may not name, since later hops need them. */
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
     * Tells whether a header belongs to one connection and is not passed on.
     *
     * @param name the name in any case, not null
     * @return true for a header of a single hop
     */
    public static boolean isHopByHop(String name) {
        return HOP_BY_HOP.contains(name.toLowerCase(Locale.ROOT));
    }
}
