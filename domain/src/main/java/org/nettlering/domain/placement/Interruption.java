package org.nettlering.domain.placement;

/** How far tasks of a profile may be disturbed for others. */
public enum Interruption {
    /** Never throttled or evicted for another profile. */
    NEVER,
    /** May be throttled but not evicted. */
    THROTTLE,
    /** May be throttled and evicted. */
    EVICT;

    /** Tells whether the speed may be reduced. */
    public boolean allowsThrottle() {
        return this != NEVER;
    }

    /** Tells whether the task may be evicted. */
    public boolean allowsEviction() {
        return this == EVICT;
    }
}
