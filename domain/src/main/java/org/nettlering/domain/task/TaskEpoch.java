package org.nettlering.domain.task;

/**
 * One start of a task.
 *
 * @param jobId the job, not null
 * @param epoch the lease epoch that the start decision raised, from 1
 */
public record TaskEpoch(String jobId, long epoch) {}
