package org.nettlering.domain.workflow;

/**
 * One incarnation of a host, and its address.
 *
 * <p>A host that restarts gets a new id as a rule, but may keep the one that it had; the time of its start tells its
 * incarnations apart then (see {@link #UNKNOWN_START}). Immutable and thread-safe.
 *
 * @param id the id of this incarnation, not null
 * @param address the address at which the host receives commands, as IP:PORT, not null
 */
public record HostIncarnation(String id, String address) {
    /** The time of the start of a host that does not tell it, in milliseconds since 1970. */
    public static final long UNKNOWN_START = 0;

    /**
     * Returns whether two times of a start belong to different incarnations.
     *
     * @param oneStartMillis one start, in milliseconds since 1970, or {@link #UNKNOWN_START}
     * @param otherStartMillis the other start, in milliseconds since 1970, or {@link #UNKNOWN_START}
     * @return true if both are known and differ; which of them came later is not told by them, as clocks may jump
     */
    public static boolean isOtherStart(long oneStartMillis, long otherStartMillis) {
        return oneStartMillis != UNKNOWN_START
                && otherStartMillis != UNKNOWN_START
                && oneStartMillis != otherStartMillis;
    }
}
