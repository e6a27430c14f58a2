package org.nettlering.domain.task;

/** Why one epoch of a task ended. */
public enum TerminationReason {
    /** The work is complete. */
    COMPLETED,
    /** The worker stopped it on command. */
    STOPPED,
    /** The task failed on the worker. */
    FAILED,
    /** The worker ended it because its lease had run out, or lost it. */
    LEASE_EXPIRED
}
