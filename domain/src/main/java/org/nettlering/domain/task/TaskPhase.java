package org.nettlering.domain.task;

import java.util.Locale;

/** The phase of a task. A task holds an allocation if and only if {@link #isPlaced()}. */
public enum TaskPhase {
    /** Awaits its first start. */
    PENDING,
    /** Placed for the first time; the worker has not yet reported it as running. */
    STARTING,
    /** The worker has reported it as running. */
    RUNNING,
    /** Being evicted: writes a checkpoint and stops, to resume on another worker. */
    CHECKPOINTING,
    /** Being stopped permanently. */
    CANCELLING,
    /** Evicted, or lost with its worker; awaits a start from its last recorded checkpoint. */
    EVICTED,
    /** Placed again; the worker has not yet reported it as running. */
    RESUMING,
    /** Completed. */
    DONE,
    /** Cancelled on request. */
    CANCELLED,
    /** Failed on several workers. */
    FAILED,
    /** Exceeds the capacity of every worker or the budget of the cluster. */
    UNRUNNABLE;

    /**
     * Returns whether the task is placed on a worker.
     *
     * @return true if a worker may be running the task
     */
    public boolean isPlaced() {
        return switch (this) {
            case STARTING, RUNNING, CHECKPOINTING, CANCELLING, RESUMING -> true;
            case PENDING, EVICTED, DONE, CANCELLED, FAILED, UNRUNNABLE -> false;
        };
    }

    /**
     * Returns whether the task awaits a start.
     *
     * @return true if the planner may place the task
     */
    public boolean isSchedulable() {
        return this == PENDING || this == EVICTED;
    }

    /**
     * Returns whether the phase is terminal.
     *
     * @return true for done, cancelled and failed tasks
     */
    public boolean isTerminal() {
        return this == DONE || this == CANCELLED || this == FAILED;
    }

    /**
     * Returns the external name of the phase, which is written to responses and snapshots.
     *
     * @return the name in lower case, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
