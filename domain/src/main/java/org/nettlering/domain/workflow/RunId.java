package org.nettlering.domain.workflow;

/**
 * The name of one run of a task: its starts are numbered from one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param task the task, not null
 * @param number the number of the start, positive
 */
public record RunId(TaskId task, int number) {
    @Override
    public String toString() {
        return task + "#" + number;
    }
}
