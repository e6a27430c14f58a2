package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.nettlering.control.workflow.JobRejection.Reason;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.RemainingWork;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.admission.FeasibilityPolicy;
import org.nettlering.domain.workflow.admission.JobAdmissionPolicy;
import org.nettlering.domain.workflow.admission.LongRunningShare;
import org.nettlering.domain.workflow.admission.RejectedJobs;
import org.nettlering.domain.workflow.admission.WaitingWork;
import org.nettlering.domain.workflow.admission.WorkRate;
import org.nettlering.domain.workflow.placement.FreeCapacity;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * Decides which submitted jobs one leadership accepts, from what it has seen of submissions and ends.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class JobAdmission {
    private static final int MILLICORES_PER_CORE = 1_000;

    private final StartableHosts hosts;

    private final RunTimeModel runTimes;

    private final WorkflowOptions options;

    private final LongRunningShare longRunningShare;

    private final Map<WorkKind, WorkRate> rates = new HashMap<>();

    private final RejectedJobs rejectedJobs = RejectedJobs.none();

    /** Work that competes for the same room. */
    private record WorkKind(String pool, boolean bestEffort) {}

    JobAdmission(StartableHosts hosts, RunTimeModel runTimes, WorkflowOptions options, long nowNanos) {
        this.hosts = hosts;
        this.runTimes = runTimes;
        this.options = options;
        longRunningShare = LongRunningShare.observedSince(nowNanos);
    }

    /** Records a task that was done in the given time at full speed. */
    void taskDone(StepProgress step, long runTimeMillis, long nowNanos) {
        StepSpecification specification = step.specification();
        long cpuMillis = runTimeMillis * specification.demand().millicores() / MILLICORES_PER_CORE;
        WorkKind kind = new WorkKind(step.job().terms().pool(), specification.has(StepTrait.BEST_EFFORT));
        rates.computeIfAbsent(kind, key -> WorkRate.startingAt(nowNanos)).add(cpuMillis, nowNanos);
    }

    /** Decides as {@link WorkflowLeadership#rejectionOf}. */
    Optional<JobRejection> decide(WorkflowState state, SubmitJob submission, UndecidedDemand undecided, long nowNanos) {
        JobDefinition definition = submission.definition();
        String pool = submission.terms().pool();
        Optional<JobRejection> tooManyTasks = rejection(
                Reason.TOO_MANY_TASKS,
                JobAdmissionPolicy.retryDelayIfTooManyTasks(definition, state.unfinishedJobTasks()));
        if (tooManyTasks.isPresent()) {
            return tooManyTasks;
        }
        Optional<JobRejection> tooManyBytes = rejection(
                Reason.TOO_MANY_BYTES,
                JobAdmissionPolicy.retryDelayIfTooManyBytes(
                        definition, state.heldBytes() + undecided.bytes(), options.maxJobBytes()));
        if (tooManyBytes.isPresent()) {
            return tooManyBytes;
        }
        if (definition.longRunningMillicores() > 0) {
            return rejection(
                    Reason.LONG_RUNNING_SHARE,
                    longRunningShare.retryDelay(
                            definition,
                            pool,
                            hosts.poolMillicores(state, pool),
                            state.longRunningMillicores(pool) + undecided.longRunningMillicores(),
                            nowNanos));
        }
        longRunningShare.shortJobSubmitted(definition, pool, nowNanos);
        return options.rejectInfeasible()
                ? rejection(
                        Reason.INFEASIBLE,
                        retryDelayIfInfeasible(state, submission, hosts.freeCapacities(state, nowNanos), nowNanos))
                : Optional.empty();
    }

    private static Optional<JobRejection> rejection(Reason reason, Optional<Duration> retryDelay) {
        return retryDelay.map(delay -> new JobRejection(reason, delay));
    }

    /** Returns the retry delay if a job is infeasible and was not sent away before, or empty if it is admitted. */
    Optional<Duration> retryDelayIfInfeasible(
            WorkflowState state, SubmitJob submission, Collection<FreeCapacity> capacities, long nowNanos) {
        StepSpecification first = submission.definition().steps().getFirst();
        boolean bestEffort = first.has(StepTrait.BEST_EFFORT);
        String pool = submission.terms().pool();
        WorkRate rate = rates.get(new WorkKind(pool, bestEffort));
        boolean exempt = submission.definition().recurrence().isPeriodic() || first.has(StepTrait.LONG_RUNNING);
        if (rate == null || exempt || rejectedJobs.includes(submission.jobId(), nowNanos)) {
            return Optional.empty();
        }
        if (capacities.stream().anyMatch(capacity -> capacity.hasRoomFor(pool, first))) {
            return Optional.empty();
        }
        RemainingWork work = RemainingWork.ofNew(submission, runTimes);
        long inFrontMillis = WaitingWork.inFrontOf(
                state.pendingSteps(),
                submission.terms(),
                bestEffort,
                work.cpuMillis(),
                runTimes,
                submission.acceptedMillis());
        Optional<Duration> delay = FeasibilityPolicy.retryDelay(
                submission.jobId(),
                rate.durationMillis(inFrontMillis, nowNanos),
                work.shortestPathMillis(),
                submission.terms().allowedDurationMillis(work.wholePathMillis()));
        delay.ifPresent(rejected -> rejectedJobs.add(submission.jobId(), nowNanos));
        return delay;
    }
}
