package org.nettlering.domain.workflow;

/**
 * The name of one task.
 *
 * <p>Immutable and thread-safe.
 *
 * @param step the step that the task belongs to, not null
 * @param index the number of the task within its step, from zero
 */
public record TaskId(StepId step, int index) {
    /**
     * Returns the name of a task.
     *
     * @param jobId the job, not null
     * @param occurrence the occurrence of the job, from zero
     * @param step the step, from zero
     * @param index the task within the step, from zero
     * @return the name, never null
     */
    public static TaskId of(String jobId, int occurrence, int step, int index) {
        return new TaskId(new StepId(jobId, occurrence, step), index);
    }

    /**
     * Returns the job.
     *
     * @return the id of the job, never null
     */
    public String jobId() {
        return step.jobId();
    }

    @Override
    public String toString() {
        return step + "." + index;
    }
}
