package org.nettlering.domain.queue;

/**
 * The scheduling terms of the jobs in a queue.
 *
 * <p>A job should finish within {@code stretch} times its critical path plus {@code targetMillis}.
 *
 * <p>Immutable and thread-safe.
 *
 * @param priority the rank among queues; 0 is scheduled first
 * @param attempts the number of failures of one task at which its job fails, at least 1
 * @param stretch the factor on a job's critical path, the longest chain of dependent work
 * @param targetMillis the time allowed in addition, in milliseconds
 * @param advised true if an external policy decides which hosts may run a step
 */
public record QueueTerms(int priority, int attempts, double stretch, long targetMillis, boolean advised) {}
