package org.nettlering.domain.workflow;

/**
 * What the result of a job is still worth to its caller at a certain age.
 *
 * <p>A result is in time up to the allowed duration of the job, late up to a multiple of it, and of no use from then on.
 * Stateless and thread-safe.
 */
public final class ResultValue {
    /** The result of a job is of no use after this multiple of its allowed duration. */
    private static final int NO_VALUE_FACTOR = 3;

    private ResultValue() {}

    /**
     * Returns whether a result would be of no use.
     *
     * @param ageMillis the time since the job was released, in milliseconds
     * @param allowedMillis the time that the job is allowed, in milliseconds
     * @return true if its caller has no use for it any more
     */
    public static boolean isGone(long ageMillis, long allowedMillis) {
        return ageMillis > NO_VALUE_FACTOR * allowedMillis;
    }
}
