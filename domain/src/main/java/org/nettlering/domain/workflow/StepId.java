package org.nettlering.domain.workflow;

/**
 * The id of one step of one occurrence of a job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param jobId the id of the job, not null
 * @param occurrence the number of the occurrence, from zero
 * @param number the number of the step, from zero
 */
public record StepId(String jobId, int occurrence, int number) {
    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + number;
    }
}
