package org.nettlering.domain.workflow;

/**
 * The id of one task.
 *
 * <p>Immutable and thread-safe.
 *
 * @param step the id of its step, not null
 * @param index the number of the task within its step, from zero
 */
public record TaskId(StepId step, int index) {
    /**
     * Returns the id of a task.
     *
     * @param jobId the id of the job, not null
     * @param occurrence the number of the occurrence, from zero
     * @param step the number of the step, from zero
     * @param index the number of the task within the step, from zero
     * @return the id of the task, never null
     */
    public static TaskId of(String jobId, int occurrence, int step, int index) {
        return new TaskId(new StepId(jobId, occurrence, step), index);
    }

    /**
     * Returns the id of the job.
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
