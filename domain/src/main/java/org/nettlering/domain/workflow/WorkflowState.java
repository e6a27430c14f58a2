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
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;
import org.nettlering.domain.workflow.WorkflowCommand.StartOccurrence;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;

/**
 * The replicated jobs: what was accepted, which runs may be at work, and what has ended.
 *
 * <p>Deterministic: the same commands in the same order give the same state on every member. Guarantees that a task has
 * at most one active run unless its step allows copies, that no run starts before the steps that it depends on are done,
 * after its task is done or after its job has ended, and that the numbers of a task's runs rise. Not thread-safe.
 */
public final class WorkflowState {
    /** The jobs by id, in the order of their acceptance. */
    private final Map<String, Job> jobs = new LinkedHashMap<>();

    /** The commitments by the id of the host's life. */
    private final Map<String, HostAllocations> allocations = new HashMap<>();

    /** The steps of open jobs whose turn has come and that have tasks to start. */
    private final Set<StepProgress> pendingSteps = new LinkedHashSet<>();

    /** The open jobs with occurrences that have not begun. */
    private final Set<Job> periodicJobs = new LinkedHashSet<>();

    /** How many jobs of each queue have not started, timed ones left out. */
    private final Map<String, Integer> queuedJobs = new HashMap<>();

    /**
     * Returns a state without jobs.
     *
     * @return a new state, never null
     */
    public static WorkflowState empty() {
        return new WorkflowState();
    }

    /**
     * Returns the state of a snapshot.
     *
     * @param snapshot the snapshot, not null
     * @return a new state, never null
     */
    public static WorkflowState from(WorkflowStateSnapshot snapshot) {
        WorkflowState state = new WorkflowState();
        snapshot.jobs().forEach(each -> state.add(Job.from(each)));
        return state;
    }

    private WorkflowState() {}

    /** Adds a job of a snapshot and whatever is derived from it. */
    private void add(Job job) {
        jobs.put(job.id(), job);
        adjustQueuedJobs(job, job.phase() == JobPhase.QUEUED ? 1 : 0);
        if (job.phase().isOpen() && job.nextOccurrence().isPresent()) {
            periodicJobs.add(job);
        }
        for (StepProgress step : job.steps()) {
            for (int index = 0; index < step.specification().taskCount(); index++) {
                step.task(index)
                        .activeRuns()
                        .forEach(run -> getOrCreateAllocations(run.host()).add(run, step));
            }
            updatePendingStep(step);
        }
    }

    /**
     * Returns the whole state.
     *
     * @return an image of it, never null
     */
    public WorkflowStateSnapshot snapshot() {
        return new WorkflowStateSnapshot(
                jobs.values().stream().map(Job::snapshot).toList());
    }

    /**
     * Finds a job.
     *
     * @param id the id, not null
     * @return the job, or empty if it is not known, never null
     */
    public Optional<Job> job(String id) {
        return Optional.ofNullable(jobs.get(id));
    }

    /**
     * Returns every job.
     *
     * @return an unmodifiable view in the order of acceptance, never null
     */
    public Collection<Job> jobs() {
        return Collections.unmodifiableCollection(jobs.values());
    }

    /**
     * Returns the steps that have tasks to start now.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<StepProgress> pendingSteps() {
        return Collections.unmodifiableCollection(pendingSteps);
    }

    /**
     * Returns the open jobs with occurrences that have not begun.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<Job> periodicJobs() {
        return Collections.unmodifiableCollection(periodicJobs);
    }

    /**
     * Returns how many jobs of a queue have not started.
     *
     * @param queue the name of the queue, not null
     * @return the number of jobs without times of which no task has started
     */
    public int queuedJobs(String queue) {
        return queuedJobs.getOrDefault(queue, 0);
    }

    /**
     * Returns the hosts with runs that may be at work.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<HostAllocations> allocations() {
        return Collections.unmodifiableCollection(allocations.values());
    }

    /**
     * Finds the commitments of one life of a host.
     *
     * @param hostId the id of that life, not null
     * @return the commitments, or empty if no run may be at work there, never null
     */
    public Optional<HostAllocations> allocationsOf(String hostId) {
        return Optional.ofNullable(allocations.get(hostId));
    }

    /**
     * Finds a step.
     *
     * @param id the name, not null
     * @return the step, or empty if its job is not known or its occurrence has not begun, never null
     */
    public Optional<StepProgress> step(StepId id) {
        return job(id.jobId()).flatMap(job -> job.step(id));
    }

    /**
     * Tells whether a run may be at work.
     *
     * @param run the run, not null
     * @return true if its start was logged and its end was not
     */
    public boolean isActive(RunId run) {
        return activeRun(run) != null;
    }

    private @Nullable ActiveRun activeRun(RunId run) {
        TaskId id = run.task();
        StepProgress step = step(id.step()).orElse(null);
        if (step == null || id.index() >= step.specification().taskCount()) {
            return null;
        }
        for (ActiveRun active : step.task(id.index()).activeRuns()) {
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
     * @return what it did; that of the last one for a batch, never null
     */
    public CommandResult apply(WorkflowCommand command) {
        return switch (command) {
            case SubmitJob submit -> submitJob(submit);
            case CancelJob cancel -> cancelJob(cancel);
            case StartOccurrence start -> startOccurrence(start);
            case StartRun start -> startRun(start.run());
            case RecordTermination end -> endRun(end);
            case RemoveJob remove -> removeJob(remove);
            case Batch batch -> applyAll(batch.commands());
        };
    }

    private CommandResult applyAll(List<WorkflowCommand> commands) {
        CommandResult last = CommandResult.UNCHANGED;
        for (WorkflowCommand command : commands) {
            last = apply(command);
        }
        return last;
    }

    private CommandResult submitJob(SubmitJob submit) {
        if (jobs.containsKey(submit.jobId())) {
            return CommandResult.UNCHANGED;
        }
        Job job = new Job(submit);
        jobs.put(job.id(), job);
        adjustQueuedJobs(job, 1);
        if (job.definition().recurrence().isPeriodic()) {
            periodicJobs.add(job);
        } else {
            startOccurrence(new StartOccurrence(job.id(), 0));
        }
        return CommandResult.APPLIED;
    }

    private CommandResult startOccurrence(StartOccurrence start) {
        Job job = jobs.get(start.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        Occurrence occurrence = job.phase().isOpen() ? job.startOccurrence(start.occurrence()) : null;
        if (occurrence == null) {
            return CommandResult.UNCHANGED;
        }
        if (job.nextOccurrence().isEmpty()) {
            periodicJobs.remove(job);
        }
        occurrence.steps().forEach(this::updatePendingStep);
        return CommandResult.APPLIED;
    }

    private CommandResult cancelJob(CancelJob cancel) {
        Job job = jobs.get(cancel.jobId());
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
        TaskId id = run.run().task();
        Job job = jobs.get(id.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        Occurrence occurrence = job.occurrence(id.step().occurrence());
        if (occurrence == null || !job.phase().isOpen()) {
            return CommandResult.UNCHANGED;
        }
        StepProgress step = occurrence.step(id.step().number());
        if (!occurrence.areDependenciesDone(step) || !step.canStart(id.index(), run.run())) {
            return CommandResult.UNCHANGED;
        }
        step.startRun(id.index(), run);
        getOrCreateAllocations(run.host()).add(run, step);
        if (job.phase() == JobPhase.QUEUED) {
            adjustQueuedJobs(job, -1);
            job.setPhase(JobPhase.RUNNING);
        }
        updatePendingStep(step);
        return CommandResult.APPLIED;
    }

    private CommandResult endRun(RecordTermination end) {
        TaskId id = end.run().task();
        StepProgress step = step(id.step()).orElse(null);
        if (step == null || id.index() >= step.specification().taskCount()) {
            return CommandResult.UNCHANGED;
        }
        ActiveRun active = activeRun(end.run());
        if (active != null) {
            releaseAllocation(active);
            step.endRun(id.index(), end.run(), end.status(), end.checkpoint());
        } else if (!step.confirmTermination(id.index(), end.run(), end.status())) {
            return CommandResult.UNCHANGED;
        }
        Job job = step.job();
        boolean runsToCompletion = !step.specification().has(StepTrait.LONG_RUNNING);
        if (job.phase().isOpen() && job.areAllOccurrencesDone()) {
            finishJob(job, JobPhase.COMPLETED);
        } else if (job.phase().isOpen()
                && runsToCompletion
                && step.failures(id.index()) >= job.terms().queueTerms().attempts()) {
            finishJob(job, JobPhase.FAILED);
        } else {
            updatePendingSteps(job, id.step().occurrence());
        }
        return CommandResult.APPLIED;
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

    private CommandResult removeJob(RemoveJob remove) {
        Job job = jobs.get(remove.jobId());
        if (job == null) {
            return CommandResult.UNKNOWN_JOB;
        }
        boolean hasActiveRuns = job.steps().stream().anyMatch(step -> step.activeRunCount() > 0);
        if (job.phase().isOpen() || hasActiveRuns) {
            return CommandResult.UNCHANGED;
        }
        jobs.remove(job.id());
        return CommandResult.APPLIED;
    }

    private void finishJob(Job job, JobPhase phase) {
        adjustQueuedJobs(job, job.phase() == JobPhase.QUEUED ? -1 : 0);
        job.setPhase(phase);
        periodicJobs.remove(job);
        pendingSteps.removeAll(job.steps());
    }

    private void updatePendingSteps(Job job, int number) {
        Occurrence occurrence = job.occurrence(number);
        if (occurrence != null) {
            occurrence.steps().forEach(this::updatePendingStep);
        }
    }

    /** Lists a step among those with tasks to start, or no longer. */
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

    private HostAllocations getOrCreateAllocations(HostIncarnation host) {
        return allocations.computeIfAbsent(host.id(), id -> new HostAllocations(host));
    }
}
