package org.nettlering.control.workflow;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;

/**
 * The jobs whose submission was proposed to the log and has no outcome yet.
 *
 * <p>Such a job may still be accepted, so nobody may be told that it never runs, and what it would hold is not free for
 * others. Thread-safe.
 */
final class UndecidedJobs {
    /** The proposals without an outcome by job id. */
    private final Map<String, Proposals> proposals = new ConcurrentHashMap<>();

    /** The latest submission of a job, and how many of its submissions have no outcome. */
    private record Proposals(SubmitJob submission, int count) {}

    UndecidedJobs() {}

    /** Returns whether a submission of the job may still take effect. */
    boolean contains(String jobId) {
        return proposals.containsKey(jobId);
    }

    /** Returns the processors that long-running tasks of a pool would need whose jobs are undecided and not stored yet. */
    long longRunningMillicores(String pool, WorkflowState state) {
        return proposals.values().stream()
                .map(Proposals::submission)
                .filter(submission -> submission.terms().pool().equals(pool)
                        && state.job(submission.jobId()).isEmpty())
                .mapToLong(submission -> submission.definition().longRunningMillicores())
                .sum();
    }

    /** Makes a proposal, during which the job is undecided. */
    <T> CompletionStage<T> during(SubmitJob submission, Supplier<CompletionStage<T>> proposal) {
        String jobId = submission.jobId();
        proposals.merge(
                jobId, new Proposals(submission, 1), (old, added) -> new Proposals(submission, old.count() + 1));
        try {
            return proposal.get().whenComplete((result, failure) -> remove(jobId));
        } catch (RuntimeException exception) {
            remove(jobId);
            throw exception;
        }
    }

    private void remove(String jobId) {
        proposals.computeIfPresent(
                jobId, (id, old) -> old.count() == 1 ? null : new Proposals(old.submission(), old.count() - 1));
    }
}
