package org.nettlering.domain.workflow;

/** The phase of a job. */
public enum JobPhase {
    /** The start of no task is committed. */
    QUEUED,
    /** The start of at least one task is committed; whether a run has begun on a host, only the hosts tell. */
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
