package org.nettlering.domain.workflow;

/**
 * The id of one run of a task. The runs of a task are numbered from one.
 *
 * <p>Immutable and thread-safe.
 *
 * @param task the task, not null
 * @param number the number of the run, positive
 */
public record RunId(TaskId task, int number) {
    @Override
    public String toString() {
        return task + "#" + number;
    }
}
