package org.nettlering.control.task;

import org.nettlering.domain.task.TaskCommand;

/** Hears what the task service does, for logs and metrics. Implementations are thread-safe and do not block. */
public interface TaskListener {
    /** A listener that ignores everything. */
    TaskListener NONE = new TaskListener() {};

    /**
     * Hears of a command that was committed; the state may have refused it because something else came first.
     *
     * @param command the command, never a batch, not null
     */
    default void committed(TaskCommand command) {}

    /**
     * Hears of a proposal that failed; what it was about is proposed again while it still holds.
     *
     * @param cause why it failed, not null
     */
    default void proposalFailed(Throwable cause) {}
}
