package org.nettlering.domain.queue;

/**
 * The terms on which the jobs of a queue run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param priority the rank among queues; 0 comes first
 * @param attempts how often a task may fail before its job fails, at least 1
 * @param stretch the factor on a job's longest chain of work within which the job should end
 * @param targetMillis what is allowed on top of that, in milliseconds
 * @param advised true if a policy outside of the system decides which hosts may run a step
 */
public record QueueTerms(int priority, int attempts, double stretch, long targetMillis, boolean advised) {}
