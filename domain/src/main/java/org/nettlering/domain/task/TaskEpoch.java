package org.nettlering.domain.task;

/**
 * Identifies one run of a task.
 *
 * @param jobId the id of the job, not null
 * @param epoch the epoch, incremented with each start, from 1
 */
public record TaskEpoch(String jobId, long epoch) {}
