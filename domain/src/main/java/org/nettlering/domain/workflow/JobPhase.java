package org.nettlering.domain.workflow;

/** How far a job is. */
public enum JobPhase {
    /** No task has started. */
    QUEUED,
    /** A task has started. */
    RUNNING,
    /** All tasks are done. */
    COMPLETED,
    /** A task has failed as often as it may. */
    FAILED,
    /** The job was cancelled. */
    CANCELLED;

    /**
     * Tells whether tasks of the job may still start.
     *
     * @return true for a job that has not ended
     */
    public boolean isOpen() {
        return this == QUEUED || this == RUNNING;
    }
}
