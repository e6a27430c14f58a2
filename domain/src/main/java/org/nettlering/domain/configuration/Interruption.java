package org.nettlering.domain.configuration;

/** The kinds of interruption that the work of a profile tolerates in favour of other work. Immutable and thread-safe. */
public enum Interruption {
    /** Must be neither throttled nor evicted. */
    NEVER,
    /** May be throttled but not evicted. */
    THROTTLE,
    /** May be throttled and evicted. */
    EVICT
}
