package org.nettlering.control.workflow;

import java.util.Map;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.nettlering.domain.workflow.JobFootprint;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;

/**
 * The jobs whose submission was proposed to the log and has no outcome yet.
 *
 * <p>Such a job may still be accepted, so nobody may be told that it never runs, and what it would hold is not free for
 * others. Thread-safe.
 */
final class UndecidedJobs {
    /** An undecided job is held by its request, by the command and by the log. */
    private static final int COPIES = 3;

    /** The proposals without an outcome by job id. */
    private final Map<String, Proposals> proposals = new ConcurrentHashMap<>();

    /** The latest submission of a job, how many of its submissions have no outcome, and the memory that they take. */
    private record Proposals(SubmitJob submission, int count, long bytes) {}

    UndecidedJobs() {}

    /** Returns whether a submission of the job may still take effect. */
    boolean contains(String jobId) {
        return proposals.containsKey(jobId);
    }

    /** Returns the processors that long-running tasks of a pool would need whose jobs are undecided and not stored yet. */
    private long longRunningMillicores(String pool, WorkflowState state) {
        return proposals.values().stream()
                .map(Proposals::submission)
                .filter(submission -> submission.terms().pool().equals(pool)
                        && state.job(submission.jobId()).isEmpty())
                .mapToLong(submission -> submission.definition().longRunningMillicores())
                .sum();
    }

    /** Returns the work and memory that the undecided jobs would add, for a job of a pool. */
    UndecidedDemand demand(String pool, WorkflowState state) {
        return new UndecidedDemand(longRunningMillicores(pool, state), bytes());
    }

    private long bytes() {
        return proposals.values().stream().mapToLong(Proposals::bytes).sum();
    }

    /** Makes a proposal, during which the job is undecided. */
    <T> CompletionStage<T> during(SubmitJob submission, Supplier<CompletionStage<T>> proposal) {
        String jobId = submission.jobId();
        long bytes = COPIES * JobFootprint.unfinishedBytes(submission.definition());
        proposals.merge(
                jobId,
                new Proposals(submission, 1, bytes),
                (old, added) -> new Proposals(submission, old.count() + 1, old.bytes() + bytes));
        try {
            return proposal.get().whenComplete((result, failure) -> remove(jobId, bytes));
        } catch (RuntimeException exception) {
            remove(jobId, bytes);
            throw exception;
        }
    }

    private void remove(String jobId, long bytes) {
        proposals.computeIfPresent(
                jobId,
                (id, old) -> old.count() == 1
                        ? null
                        : new Proposals(old.submission(), old.count() - 1, old.bytes() - bytes));
    }
}
