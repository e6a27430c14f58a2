package org.nettlering.domain.configuration;

/** How far the work of a profile may be interrupted in favour of other work. Immutable and thread-safe. */
public enum Interruption {
    /** Must be neither throttled nor evicted. */
    NEVER,
    /** May be throttled but not evicted. */
    THROTTLE,
    /** May be throttled and evicted. */
    EVICT
}
