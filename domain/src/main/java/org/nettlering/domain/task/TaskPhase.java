package org.nettlering.domain.task;

import java.util.Locale;

/** Where a task stands; a task holds commitments exactly while {@link #isPlaced()}. */
public enum TaskPhase {
    /** Waits for its first start. */
    PENDING,
    /** Its first start was decided; the worker has not reported it running. */
    STARTING,
    /** A worker reported it running. */
    RUNNING,
    /** It is to write a checkpoint and stop, so that it can resume elsewhere. */
    CHECKPOINTING,
    /** It is to stop for good. */
    CANCELLING,
    /** It was evicted or lost its worker and waits to resume from its last recorded checkpoint. */
    EVICTED,
    /** A further start was decided; the worker has not reported it running. */
    RESUMING,
    /** It completed. */
    DONE,
    /** It was cancelled. */
    CANCELLED,
    /** It failed on several workers. */
    FAILED,
    /** No worker or budget of the site can ever hold it. */
    UNRUNNABLE;

    /**
     * Tells whether the task is committed to a worker.
     *
     * @return true while a worker may be running it
     */
    public boolean isPlaced() {
        return switch (this) {
            case STARTING, RUNNING, CHECKPOINTING, CANCELLING, RESUMING -> true;
            case PENDING, EVICTED, DONE, CANCELLED, FAILED, UNRUNNABLE -> false;
        };
    }

    /**
     * Tells whether the task waits for a start.
     *
     * @return true when a start may be decided
     */
    public boolean isSchedulable() {
        return this == PENDING || this == EVICTED;
    }

    /**
     * Tells whether the task never changes again.
     *
     * @return true for done, cancelled and failed tasks
     */
    public boolean isTerminal() {
        return this == DONE || this == CANCELLED || this == FAILED;
    }

    /**
     * Returns the phase as operators see it.
     *
     * @return the lower-case text, never null
     */
    public String text() {
        return name().toLowerCase(Locale.ROOT);
    }
}
