package org.nettlering.domain.workflow;

/** The phase of a job. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** At least one task has started. */
    RUNNING,
    /** All tasks of all occurrences are done. */
    COMPLETED,
    /** A task has failed as often as the terms of the queue allow. */
    FAILED,
    /** The job was cancelled. */
    CANCELLED;

    /**
     * Returns whether tasks of the job may still start.
     *
     * @return true if the job is not finished
     */
    public boolean isOpen() {
        return this == QUEUED || this == RUNNING;
    }
}
