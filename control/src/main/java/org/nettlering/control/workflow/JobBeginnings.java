package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;

/**
 * Which open jobs have begun, that is, of which a host has shown that a run started there.
 *
 * <p>A committed start proves nothing: its command may be refused, unanswered or never sent. A job counts as begun by the response
 * to a start, a list of runs or ends, or what the replicated state tells of its ends. What only an earlier leader was shown is
 * not known: such a job counts as not begun until a host shows a run of it again. Periodic jobs are left out. Not thread-safe.
 */
final class JobBeginnings {
    /** The jobs of which a start is committed and no run is known to have begun. */
    private final Set<String> unconfirmed = new HashSet<>();

    /** Those of them whose starts were committed by earlier leaders alone, who may have known more. */
    private final Set<String> inherited = new HashSet<>();

    /** The open jobs that have begun and of which a start was committed or tracked in this term. */
    private final Set<String> begun = new HashSet<>();

    /** Takes over the jobs of which earlier leaders have committed a start. */
    void takeOver(WorkflowState state) {
        for (Job job : state.jobs()) {
            if (job.phase() != JobPhase.RUNNING || job.definition().recurrence().isPeriodic()) {
                continue;
            }
            if (job.hasCertainlyBegun()) {
                begun.add(job.id());
            } else {
                unconfirmed.add(job.id());
                inherited.add(job.id());
            }
        }
    }

    /** Records that the start of a run of a job is committed. */
    void startCommitted(Job job) {
        String jobId = job.id();
        boolean known = unconfirmed.contains(jobId) || begun.contains(jobId);
        if (known || job.definition().recurrence().isPeriodic()) {
            return;
        }
        (job.hasCertainlyBegun() ? begun : unconfirmed).add(jobId);
    }

    /**
     * Uses the response of a host, whichever of its incarnations sent it.
     *
     * @return the jobs that turn out to have begun by a start of this leader, none of which was returned before
     */
    List<Job> receive(WorkflowState state, HostCommand command, HostResponse response) {
        List<Job> jobs = new ArrayList<>();
        if (unconfirmed.isEmpty()) {
            return jobs;
        }
        switch (response) {
            case HostResponse.Accepted accepted -> {
                if (command instanceof HostCommand.Start start) {
                    recordBegun(state, start.run().run(), jobs);
                }
            }
            case HostResponse.PollResult result -> {
                result.running().forEach(running -> recordBegun(state, running.run(), jobs));
                result.terminations().forEach(ended -> recordBegun(state, ended.run(), jobs));
            }
            default -> {}
        }
        return jobs;
    }

    private void recordBegun(WorkflowState state, RunId run, List<Job> jobs) {
        String jobId = run.task().jobId();
        if (!unconfirmed.remove(jobId)) {
            return;
        }
        begun.add(jobId);
        if (!inherited.remove(jobId)) {
            state.job(jobId).ifPresent(jobs::add);
        }
    }

    /** Returns the number of open jobs of a queue of which no run is known to have begun. */
    int pending(WorkflowState state, String queue) {
        long started = unconfirmed.stream()
                .flatMap(jobId -> state.job(jobId).stream())
                .filter(job -> job.phase().isOpen() && job.terms().queue().equals(queue))
                .count();
        return state.queuedJobs(queue) + (int) started;
    }

    /**
     * Returns the phase of a job as its caller sees it: queued until a run is known to have begun. A job that an earlier leader
     * started is not taken back to it, as its caller may have seen it running.
     */
    JobPhase phase(Job job) {
        boolean queued = job.phase() == JobPhase.RUNNING && isUnconfirmedOfThisTerm(job.id());
        return queued ? JobPhase.QUEUED : job.phase();
    }

    private boolean isUnconfirmedOfThisTerm(String jobId) {
        return unconfirmed.contains(jobId) && !inherited.contains(jobId);
    }

    /** Forgets the jobs that are finished. */
    void discardFinished(WorkflowState state) {
        unconfirmed.removeIf(jobId -> isFinished(state, jobId));
        inherited.retainAll(unconfirmed);
        begun.removeIf(jobId -> isFinished(state, jobId));
    }

    private static boolean isFinished(WorkflowState state, String jobId) {
        return state.job(jobId).filter(job -> job.phase().isOpen()).isEmpty();
    }
}
