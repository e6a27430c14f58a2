package org.nettlering.domain.workflow;

/**
 * How often and when the steps of a job run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param count the number of occurrences, or zero if the job is not periodic and runs once, immediately
 * @param startMillis when the first occurrence is due, in milliseconds since 1970
 * @param intervalMillis the time between the due times of consecutive occurrences, in milliseconds
 */
public record Recurrence(int count, long startMillis, long intervalMillis) {
    /** The recurrence of a job that runs once, immediately. */
    public static final Recurrence ONCE = new Recurrence(0, 0, 0);

    /**
     * Returns whether the occurrences have due times.
     *
     * @return false for a job that runs once, immediately
     */
    public boolean isPeriodic() {
        return count > 0;
    }

    /**
     * Returns the total number of occurrences.
     *
     * @return the number, at least one
     */
    public int occurrences() {
        return Math.max(1, count);
    }

    /**
     * Returns when an occurrence is due.
     *
     * @param occurrence the number of the occurrence, from zero
     * @return the time, in milliseconds since 1970
     */
    public long dueMillis(int occurrence) {
        return startMillis + occurrence * intervalMillis;
    }
}
