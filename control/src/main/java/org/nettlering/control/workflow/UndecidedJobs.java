package org.nettlering.control.workflow;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/**
 * The jobs whose submission was proposed to the log and has no outcome yet.
 *
 * <p>Such a job may still be accepted, so nobody may be told that it never runs. Thread-safe.
 */
final class UndecidedJobs {
    /** The number of proposals without an outcome by job id. */
    private final Map<String, Integer> proposals = new ConcurrentHashMap<>();

    UndecidedJobs() {}

    /** Returns whether a submission of the job may still take effect. */
    boolean contains(String jobId) {
        return proposals.containsKey(jobId);
    }

    /** Makes a proposal, during which the job is undecided. */
    <T> CompletionStage<T> during(String jobId, Supplier<CompletionStage<T>> proposal) {
        proposals.merge(jobId, 1, Integer::sum);
        try {
            return proposal.get().whenComplete((result, failure) -> remove(jobId));
        } catch (RuntimeException exception) {
            remove(jobId);
            throw exception;
        }
    }

    private void remove(String jobId) {
        proposals.computeIfPresent(jobId, (id, count) -> count == 1 ? null : count - 1);
    }
}
