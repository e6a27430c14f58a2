package org.nettlering.domain.workflow;

import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.WorkflowCommand.Batch;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.domain.workflow.WorkflowCommand.RaiseFence;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;
import org.nettlering.domain.workflow.WorkflowCommand.StartOccurrence;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;

/**
 * The replicated state of all jobs, their tasks and their runs.
 *
 * <p>Deterministic: the same commands in the same order give the same state on every member. Guarantees that
 *
 * <ul>
 *   <li>a task has at most one active run, unless its step allows speculative copies;
 *   <li>no run starts before the dependencies of its step are done, after its task is done or after its job is finished;
 *   <li>the run numbers of a task increase.
 * </ul>
 *
 * <p>Not thread-safe.
 */
public final class WorkflowState {
    /** The jobs by id, in the order of acceptance. */
    private final Map<String, Job> jobs = new LinkedHashMap<>();

    /** The ids of the jobs that are only kept because they were cancelled before their submission, the oldest first. */
    private final Set<String> unsubmittedJobs = new LinkedHashSet<>();

    /** The allocations by the id of the host incarnation. */
    private final Map<String, HostAllocations> allocations = new HashMap<>();

    /** The steps of unfinished jobs that have tasks to start now. */
    private final Set<StepProgress> pendingSteps = new LinkedHashSet<>();

    /** The unfinished periodic jobs with occurrences that have not started. */
    private final Set<Job> periodicJobs = new LinkedHashSet<>();

    /** The number of queued jobs by queue, without periodic jobs. */
    private final Map<String, Integer> queuedJobs = new HashMap<>();

    /** The processor demand of the long-running tasks of all unfinished jobs by pool, in millicores. */
    private final Map<String, Long> longRunningMillicores = new HashMap<>();

    /** The number of tasks in the started occurrences of the unfinished jobs. */
    private long unfinishedJobTasks;

    /** The estimated memory of all jobs in bytes, without their tasks. */
    private long heldBytes;

    /** How often leaders have raised their fencing token. */
    private long fenceRaises;

    private Evacuations evacuations = Evacuations.NONE;

    /**
     * Returns a state without jobs.
     *
     * @return a new state, never null
     */
    public static WorkflowState empty() {
        return new WorkflowState();
    }

    /**
     * Restores a state from a snapshot.
     *
     * @param snapshot the snapshot, not null
     * @return a new state, never null
     */
    public static WorkflowState from(WorkflowStateSnapshot snapshot) {
        WorkflowState state = new WorkflowState();
        snapshot.jobs().forEach(job -> state.add(Job.from(job)));
        state.fenceRaises = snapshot.fenceRaises();
        state.evacuations = snapshot.evacuations();
        return state;
    }

    private WorkflowState() {}

    /** Adds a job of a snapshot and restores the state that is derived from it. */
    private void add(Job job) {
        put(job);
        adjustQueuedJobs(job, job.phase() == JobPhase.QUEUED ? 1 : 0);
        adjustLongRunning(job, job.phase().isOpen() ? 1 : 0);
        if (job.phase().isOpen() && job.nextOccurrence().isPresent()) {
            periodicJobs.add(job);
        }
        heldBytes += job.phase().isOpen() ? progressBytes(job) : 0;
        for (StepProgress step : job.steps()) {
            unfinishedJobTasks += job.phase().isOpen() ? step.specification().taskCount() : 0;
            for (int index = 0; index < step.specification().taskCount(); index++) {
                step.task(index)
                        .activeRuns()
                        .forEach(run -> getOrCreateAllocations(run.host()).add(run, step));
            }
            updatePendingStep(step);
        }
    }

    private void put(Job job) {
        jobs.put(job.id(), job);
        heldBytes += JobFootprint.definitionBytes(job.definition());
        if (EarlyCancellation.isUnsubmitted(job)) {
            unsubmittedJobs.add(job.id());
        }
    }

    /**
     * Returns a snapshot of the state.
     *
     * @return a new snapshot, never null
     */
    public WorkflowStateSnapshot snapshot() {
        return new WorkflowStateSnapshot(
                jobs.values().stream().map(Job::snapshot).toList(), fenceRaises, evacuations);
    }

    /**
     * Returns the fencing token of the leader of a term.
     *
     * <p>A leader uses it once it has applied all entries of earlier terms, and again after it has applied a {@link
     * RaiseFence} of its own. The tokens of a leader are then higher than all those of leaders before it, as terms and raises
     * only increase.
     *
     * @param term the term, positive
     * @return the token, the term plus the number of raises
     */
    public long fencingToken(long term) {
        return term + fenceRaises;
    }

    /**
     * Returns the failure domains whose hosts get no new runs.
     *
     * @return the evacuations, never null
     */
    public Evacuations evacuations() {
        return evacuations;
    }

    /**
     * Finds a job, also one that was cancelled before its submission.
     *
     * @param id the id of the job, not null
     * @return the job, or empty if it is unknown, never null
     */
    public Optional<Job> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Finds a job that somebody submitted.
     *
     * @param id the id of the job, not null
     * @return the job, or empty if it is unknown or was cancelled before its submission, never null
     */
    public Optional<Job> submittedJob(String id) {
        return job(id).filter(job -> !EarlyCancellation.isUnsubmitted(job));
    }

    /**
     * Returns the jobs that were cancelled before their submission.
     *
     * @return an unmodifiable view of their ids, the oldest first, never null
     */
    public Collection<String> unsubmittedJobs() {
        return Collections.unmodifiableCollection(unsubmittedJobs);
    }

    /**
     * Returns all jobs.
     *
     * @return an unmodifiable view in the order of acceptance, never null
     */
    public Collection<Job> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * Returns the pending steps: those that have tasks to start now.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<StepProgress> pendingSteps() {
        return Collections.unmodifiableCollection(pendingSteps);
    }

    /**
     * Returns the unfinished periodic jobs with occurrences that have not started.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<Job> periodicJobs() {
        return Collections.unmodifiableCollection(periodicJobs);
    }

    /**
     * Returns the number of queued jobs of a queue.
     *
     * @param queue the name of the queue, not null
     * @return the number of jobs that are not periodic and of which no start is committed
     */
    public int queuedJobs(String queue) {
        return queuedJobs.getOrDefault(queue, 0);
    }

    /**
     * Returns the number of tasks of the unfinished jobs.
     *
     * @return the tasks in their started occurrences, done or not
     */
    public long unfinishedJobTasks() {
        return unfinishedJobTasks;
    }

    /**
     * Returns the memory that all jobs take, finished or not, without their tasks.
     *
     * @return the estimate of {@link JobFootprint} in bytes
     */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Returns the processor demand of the long-running tasks of all unfinished jobs of a pool.
     *
     * @param pool the name of the pool, not null
     * @return the sum in millicores
     */
    public long longRunningMillicores(String pool) {
        return longRunningMillicores.getOrDefault(pool, 0L);
    }

    /**
     * Returns the allocations of all host incarnations that have active runs.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<HostAllocations> allocations() {
        return Collections.unmodifiableCollection(allocations.values());
    }

    /**
     * Finds the allocations of one host incarnation.
     *
     * @param hostId the id of the incarnation, not null
     * @return the allocations, or empty if the incarnation has no active run, never null
     */
    public Optional<HostAllocations> allocationsOf(String hostId) {
        return Optional.ofNullable(allocations.get(hostId));
    }

    /**
     * Finds a step.
     *
     * @param stepId the id of the step, not null
     * @return the step, or empty if its job is unknown or its occurrence has not started, never null
     */
    public Optional<StepProgress> step(StepId stepId) {
        return job(stepId.jobId()).flatMap(job -> job.step(stepId));
    }

    /**
     * Returns whether a run is active, that is, may be running on its host.
     *
     * @param run the id of the run, not null
     * @return true if the start of the run is committed and its termination is not
     */
    public boolean isActive(RunId run) {
        return activeRun(run) != null;
    }

    /**
     * Returns whether a run is active on a certain host. Of two proposed starts of the same run on different hosts only the
     * one that is applied first takes effect.
     *
     * @param run the run with its host, not null
     * @return true if the start of the run on that host is committed and its termination is not
     */
    public boolean isActiveOnItsHost(ActiveRun run) {
        ActiveRun active = activeRun(run.run());
        return active != null && active.host().equals(run.host());
    }

    private @Nullable ActiveRun activeRun(RunId run) {
        TaskId taskId = run.task();
        StepProgress step = step(taskId.step()).orElse(null);
        if (step == null || taskId.index() >= step.specification().taskCount()) {
            return null;
        }
        for (ActiveRun active : step.task(taskId.index()).activeRuns()) {
            if (active.run().equals(run)) {
                return active;
            }
        }
        return null;
    }

    /**
     * Applies a command.
     *
     * @param command the command, not null
     * @return the result; for a batch, the result of its last command, never null
     */
    public CommandResult apply(WorkflowCommand command) {
        return switch (command) {
            case SubmitJob submit -> submitJob(submit);
            case CancelJob cancel -> cancelJob(cancel);
            case StartOccurrence start -> startOccurrence(start);
            case StartRun start -> startRun(start.run());
            case RecordTermination termination -> recordTermination(termination);
            case RemoveJob remove -> removeJob(remove);
            case RaiseFence raise -> raiseFence();
            case ChangeEvacuation change -> changeEvacuation(change);
            case Batch batch -> applyAll(batch.commands());
        };
    }

    private CommandResult raiseFence() {
        fenceRaises++;
        return CommandResult.APPLIED;
    }

    private CommandResult changeEvacuation(ChangeEvacuation change) {
        if (evacuations.includes(change.failureDomain()) == change.evacuated()) {
            return CommandResult.UNCHANGED;
        }
        if (change.expectedVersion() != evacuations.version()) {
            return CommandResult.VERSION_CONFLICT;
        }
        evacuations = evacuations.with(change.failureDomain(), change.evacuated());
        return CommandResult.APPLIED;
    }

    private CommandResult applyAll(List<WorkflowCommand> commands) {
        CommandResult last = CommandResult.UNCHANGED;
        for (WorkflowCommand command : commands) {
            last = apply(command);
        }
        return last;
    }

    private CommandResult submitJob(SubmitJob command) {
        if (jobs.containsKey(command.jobId())) {
            return CommandResult.UNCHANGED;
        }
        Job job = new Job(command);
        put(job);
        adjustQueuedJobs(job, 1);
        adjustLongRunning(job, 1);
        if (job.definition().recurrence().isPeriodic()) {
            periodicJobs.add(job);
        } else {
            startOccurrence(new StartOccurrence(job.id(), 0));
        }
        return CommandResult.APPLIED;
    }

    private CommandResult startOccurrence(StartOccurrence command) {
        Job job = jobs.get(command.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        Occurrence occurrence = job.phase().isOpen() ? job.startOccurrence(command.occurrence()) : null;
        if (occurrence == null) {
            return CommandResult.UNCHANGED;
        }
        if (job.nextOccurrence().isEmpty()) {
            periodicJobs.remove(job);
        }
        unfinishedJobTasks += job.definition().taskCount();
        heldBytes += JobFootprint.progressBytes(job.definition());
        occurrence.steps().forEach(this::updatePendingStep);
        return CommandResult.APPLIED;
    }

    private CommandResult cancelJob(CancelJob command) {
        Job job = jobs.get(command.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        if (!job.phase().isOpen()) {
            return CommandResult.UNCHANGED;
        }
        finishJob(job, JobPhase.CANCELLED);
        return CommandResult.APPLIED;
    }

    private CommandResult startRun(ActiveRun run) {
        TaskId taskId = run.run().task();
        Job job = jobs.get(taskId.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        Occurrence occurrence = job.occurrence(taskId.step().occurrence());
        if (occurrence == null || !job.phase().isOpen()) {
            return CommandResult.UNCHANGED;
        }
        StepProgress step = occurrence.step(taskId.step().number());
        if (!occurrence.areDependenciesDone(step) || !step.canStart(taskId.index(), run.run())) {
            return CommandResult.UNCHANGED;
        }
        step.startRun(taskId.index(), run);
        getOrCreateAllocations(run.host()).add(run, step);
        if (job.phase() == JobPhase.QUEUED) {
            adjustQueuedJobs(job, -1);
            job.setPhase(JobPhase.RUNNING);
        }
        updatePendingStep(step);
        return CommandResult.APPLIED;
    }

    private CommandResult recordTermination(RecordTermination termination) {
        TaskId taskId = termination.run().task();
        StepProgress step = step(taskId.step()).orElse(null);
        if (step == null || taskId.index() >= step.specification().taskCount()) {
            return CommandResult.UNCHANGED;
        }
        ActiveRun active = activeRun(termination.run());
        if (active != null) {
            releaseAllocation(active);
            step.endRun(taskId.index(), termination.run(), termination.status(), termination.checkpoint());
        } else if (!step.confirmTermination(taskId.index(), termination.run(), termination.status())) {
            return CommandResult.UNCHANGED;
        }
        Job job = step.job();
        if (job.phase().isOpen() && job.areAllOccurrencesDone()) {
            finishJob(job, JobPhase.COMPLETED);
        } else if (job.phase().isOpen() && isGivenUp(step, taskId.index(), termination.status())) {
            finishJob(job, JobPhase.FAILED);
        } else {
            discardProgressIfOver(job);
            updatePendingSteps(job, taskId.step().occurrence());
        }
        return CommandResult.APPLIED;
    }

    private static boolean isGivenUp(StepProgress step, int index, TerminalStatus latestStatus) {
        int attempts = step.job().terms().queueTerms().attempts();
        boolean hasAttemptsLeft = step.specification().has(StepTrait.LONG_RUNNING) || step.failures(index) < attempts;
        return !hasAttemptsLeft || step.crashesHosts(index, latestStatus);
    }

    private void releaseAllocation(ActiveRun active) {
        HostAllocations hostAllocations = allocations.get(active.host().id());
        if (hostAllocations == null) {
            return;
        }
        hostAllocations.remove(active.run());
        if (hostAllocations.isEmpty()) {
            allocations.remove(active.host().id());
        }
    }

    private CommandResult removeJob(RemoveJob command) {
        Job job = jobs.get(command.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        if (job.phase().isOpen() || job.hasActiveRuns()) {
            return CommandResult.UNCHANGED;
        }
        jobs.remove(job.id());
        heldBytes -= JobFootprint.definitionBytes(job.definition());
        unsubmittedJobs.remove(job.id());
        return CommandResult.APPLIED;
    }

    private void finishJob(Job job, JobPhase phase) {
        adjustQueuedJobs(job, job.phase() == JobPhase.QUEUED ? -1 : 0);
        adjustLongRunning(job, -1);
        job.steps().forEach(step -> unfinishedJobTasks -= step.specification().taskCount());
        heldBytes -= progressBytes(job);
        job.setPhase(phase);
        periodicJobs.remove(job);
        pendingSteps.removeAll(job.steps());
        discardProgressIfOver(job);
    }

    private static long progressBytes(Job job) {
        return job.startedOccurrences() * JobFootprint.progressBytes(job.definition());
    }

    private static void discardProgressIfOver(Job job) {
        if (!job.phase().isOpen() && !job.hasActiveRuns()) {
            job.discardProgress();
        }
    }

    private void updatePendingSteps(Job job, int occurrenceNumber) {
        Occurrence occurrence = job.occurrence(occurrenceNumber);
        if (occurrence != null) {
            occurrence.steps().forEach(this::updatePendingStep);
        }
    }

    /** Adds a step to the pending steps if it has tasks to start now; removes it otherwise. */
    private void updatePendingStep(StepProgress step) {
        Occurrence occurrence = step.job().occurrence(step.id().occurrence());
        boolean isPending = occurrence != null
                && step.job().phase().isOpen()
                && step.canStartTasks()
                && occurrence.areDependenciesDone(step);
        if (isPending) {
            pendingSteps.add(step);
        } else {
            pendingSteps.remove(step);
        }
    }

    private void adjustQueuedJobs(Job job, int delta) {
        if (!job.definition().recurrence().isPeriodic() && delta != 0) {
            queuedJobs.merge(job.terms().queue(), delta, Integer::sum);
        }
    }

    private void adjustLongRunning(Job job, int sign) {
        long millicores = job.definition().longRunningMillicores();
        if (millicores != 0 && sign != 0) {
            longRunningMillicores.merge(job.terms().pool(), sign * millicores, Long::sum);
        }
    }

    private HostAllocations getOrCreateAllocations(HostIncarnation host) {
        return allocations.computeIfAbsent(host.id(), id -> new HostAllocations(host));
    }
}
