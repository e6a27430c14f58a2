package org.nettlering.domain.workflow;

/**
 * How often, and when, the steps of a job run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count how many occurrences there are, zero for a job that runs once and at once
 * @param startMillis when the first one is due, in milliseconds since 1970
 * @param intervalMillis the time from one to the next, in milliseconds
 */
public record Recurrence(int count, long startMillis, long intervalMillis) {
    /** Once, at once. */
    public static final Recurrence ONCE = new Recurrence(0, 0, 0);

    /**
     * Tells whether the occurrences have times.
     *
     * @return false for a job that runs once and at once
     */
    public boolean isPeriodic() {
        return count > 0;
    }

    /**
     * Returns how many occurrences there are in all.
     *
     * @return at least one
     */
    public int occurrences() {
        return Math.max(1, count);
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence the number of the occurrence, from zero
     * @return milliseconds since 1970
     */
    public long dueMillis(int occurrence) {
        return startMillis + occurrence * intervalMillis;
    }
}
