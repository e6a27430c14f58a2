package org.nettlering.domain.workflow;

import org.nettlering.domain.queue.QueueTerms;

/**
 * The terms of a job: those that its queue had when the job was accepted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param queue the name of the queue, not null
 * @param pool the pool whose hosts run the tasks, not null
 * @param queueTerms the terms of the queue at that time, not null
 */
public record JobTerms(String queue, String pool, QueueTerms queueTerms) {
    /**
     * Returns how long an occurrence may take to meet its objective.
     *
     * @param pathMillis the duration of its longest chain of steps, in milliseconds
     * @return the time from its release to its objective, in milliseconds
     */
    public long allowedDurationMillis(long pathMillis) {
        return Math.round(queueTerms.stretch() * pathMillis) + queueTerms.targetMillis();
    }
}
