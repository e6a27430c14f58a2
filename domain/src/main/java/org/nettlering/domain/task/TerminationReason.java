package org.nettlering.domain.task;

/** The reason for which an epoch of a task terminated. */
public enum TerminationReason {
    /** The task ran to completion. */
    COMPLETED,
    /** The worker stopped the task on command of the leader. */
    STOPPED,
    /** The task failed on the worker. */
    FAILED,
    /** The worker stopped the task because its lease had expired, or lost the task. */
    LEASE_EXPIRED
}
