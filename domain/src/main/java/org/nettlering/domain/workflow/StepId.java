package org.nettlering.domain.workflow;

/**
 * The name of one step of one occurrence of a job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param jobId the job, not null
 * @param occurrence the occurrence of the job, from zero
 * @param number the step, from zero
 */
public record StepId(String jobId, int occurrence, int number) {
    @Override
    public String toString() {
        return jobId + "." + occurrence + "." + number;
    }
}
