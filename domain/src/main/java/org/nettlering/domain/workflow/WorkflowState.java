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
import org.nettlering.domain.workflow.WorkflowCommand.Begin;
import org.nettlering.domain.workflow.WorkflowCommand.Cancel;
import org.nettlering.domain.workflow.WorkflowCommand.End;
import org.nettlering.domain.workflow.WorkflowCommand.Forget;
import org.nettlering.domain.workflow.WorkflowCommand.Start;
import org.nettlering.domain.workflow.WorkflowCommand.Submit;

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
    private final Map<String, HostCommitments> hosts = new HashMap<>();

    /** The steps of open jobs whose turn has come and that have tasks to start. */
    private final Set<StepProgress> waitingSteps = new LinkedHashSet<>();

    /** The open jobs with occurrences that have not begun. */
    private final Set<Job> timedJobs = new LinkedHashSet<>();

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
     * @param image the snapshot, not null
     * @return a new state, never null
     */
    public static WorkflowState from(WorkflowImage image) {
        WorkflowState state = new WorkflowState();
        image.jobs().forEach(each -> state.add(Job.from(each)));
        return state;
    }

    private WorkflowState() {}

    /** Adds a job of a snapshot and whatever is derived from it. */
    private void add(Job job) {
        jobs.put(job.id(), job);
        countQueued(job, job.phase() == JobPhase.QUEUED ? 1 : 0);
        if (job.phase().isOpen() && job.nextOccurrence().isPresent()) {
            timedJobs.add(job);
        }
        for (StepProgress step : job.steps()) {
            for (int index = 0; index < step.specification().count(); index++) {
                step.task(index)
                        .activeRuns()
                        .forEach(run -> commitmentsOf(run.host()).add(run, step));
            }
            refresh(step);
        }
    }

    /**
     * Returns the whole state.
     *
     * @return an image of it, never null
     */
    public WorkflowImage image() {
        return new WorkflowImage(jobs.values().stream().map(Job::image).toList());
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
    public Collection<StepProgress> waitingSteps() {
        return Collections.unmodifiableCollection(waitingSteps);
    }

    /**
     * Returns the open jobs with occurrences that have not begun.
     *
     * @return an unmodifiable view, never null
     */
    public Collection<Job> timedJobs() {
        return Collections.unmodifiableCollection(timedJobs);
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
    public Collection<HostCommitments> hosts() {
        return Collections.unmodifiableCollection(hosts.values());
    }

    /**
     * Finds the commitments of one life of a host.
     *
     * @param hostId the id of that life, not null
     * @return the commitments, or empty if no run may be at work there, never null
     */
    public Optional<HostCommitments> host(String hostId) {
        return Optional.ofNullable(hosts.get(hostId));
    }

    /**
     * Finds a step.
     *
     * @param name the name, not null
     * @return the step, or empty if its job is not known or its occurrence has not begun, never null
     */
    public Optional<StepProgress> step(StepName name) {
        return job(name.jobId()).flatMap(job -> job.step(name));
    }

    /**
     * Tells whether a run may be at work.
     *
     * @param run the run, not null
     * @return true if its start was logged and its end was not
     */
    public boolean isActive(RunName run) {
        return activeRun(run) != null;
    }

    private @Nullable ActiveRun activeRun(RunName run) {
        TaskName name = run.task();
        StepProgress step = step(name.step()).orElse(null);
        if (step == null || name.index() >= step.specification().count()) {
            return null;
        }
        for (ActiveRun active : step.task(name.index()).activeRuns()) {
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
    public WorkflowOutcome apply(WorkflowCommand command) {
        return switch (command) {
            case Submit submit -> submit(submit);
            case Cancel cancel -> cancel(cancel);
            case Begin begin -> begin(begin);
            case Start start -> start(start.run());
            case End end -> end(end);
            case Forget forget -> forget(forget);
            case Batch batch -> applyAll(batch.commands());
        };
    }

    private WorkflowOutcome applyAll(List<WorkflowCommand> commands) {
        WorkflowOutcome last = WorkflowOutcome.UNCHANGED;
        for (WorkflowCommand command : commands) {
            last = apply(command);
        }
        return last;
    }

    private WorkflowOutcome submit(Submit submit) {
        if (jobs.containsKey(submit.jobId())) {
            return WorkflowOutcome.UNCHANGED;
        }
        Job job = new Job(submit);
        jobs.put(job.id(), job);
        countQueued(job, 1);
        if (job.definition().recurrence().isTimed()) {
            timedJobs.add(job);
        } else {
            begin(new Begin(job.id(), 0));
        }
        return WorkflowOutcome.APPLIED;
    }

    private WorkflowOutcome begin(Begin begin) {
        Job job = jobs.get(begin.jobId());
        if (job == null) {
            return WorkflowOutcome.UNKNOWN_JOB;
        }
        Occurrence begun = job.phase().isOpen() ? job.begin(begin.occurrence()) : null;
        if (begun == null) {
            return WorkflowOutcome.UNCHANGED;
        }
        if (job.nextOccurrence().isEmpty()) {
            timedJobs.remove(job);
        }
        begun.steps().forEach(this::refresh);
        return WorkflowOutcome.APPLIED;
    }

    private WorkflowOutcome cancel(Cancel cancel) {
        Job job = jobs.get(cancel.jobId());
        if (job == null) {
            return WorkflowOutcome.UNKNOWN_JOB;
        }
        if (!job.phase().isOpen()) {
            return WorkflowOutcome.UNCHANGED;
        }
        close(job, JobPhase.CANCELLED);
        return WorkflowOutcome.APPLIED;
    }

    private WorkflowOutcome start(ActiveRun run) {
        TaskName name = run.run().task();
        Job job = jobs.get(name.jobId());
        if (job == null) {
            return WorkflowOutcome.UNKNOWN_JOB;
        }
        Occurrence occurrence = job.occurrence(name.step().occurrence());
        if (occurrence == null || !job.phase().isOpen()) {
            return WorkflowOutcome.UNCHANGED;
        }
        StepProgress step = occurrence.step(name.step().number());
        if (!occurrence.isTurnOf(step) || !step.allowsStart(name.index(), run.run())) {
            return WorkflowOutcome.UNCHANGED;
        }
        step.start(name.index(), run);
        commitmentsOf(run.host()).add(run, step);
        if (job.phase() == JobPhase.QUEUED) {
            countQueued(job, -1);
            job.enter(JobPhase.RUNNING);
        }
        refresh(step);
        return WorkflowOutcome.APPLIED;
    }

    private WorkflowOutcome end(End end) {
        TaskName name = end.run().task();
        StepProgress step = step(name.step()).orElse(null);
        if (step == null || name.index() >= step.specification().count()) {
            return WorkflowOutcome.UNCHANGED;
        }
        ActiveRun active = activeRun(end.run());
        if (active != null) {
            release(active);
            step.end(name.index(), end.run(), end.how(), end.checkpoint());
        } else if (!step.settle(name.index(), end.run(), end.how())) {
            return WorkflowOutcome.UNCHANGED;
        }
        Job job = step.job();
        boolean bounded = !step.specification().has(StepTrait.LONG_RUNNING);
        if (job.phase().isOpen() && job.isWholeDone()) {
            close(job, JobPhase.COMPLETED);
        } else if (job.phase().isOpen()
                && bounded
                && step.failures(name.index()) >= job.terms().terms().attempts()) {
            close(job, JobPhase.FAILED);
        } else {
            refreshOccurrence(job, name.step().occurrence());
        }
        return WorkflowOutcome.APPLIED;
    }

    private void release(ActiveRun active) {
        HostCommitments commitments = hosts.get(active.host().id());
        if (commitments == null) {
            return;
        }
        commitments.remove(active.run());
        if (commitments.isEmpty()) {
            hosts.remove(active.host().id());
        }
    }

    private WorkflowOutcome forget(Forget forget) {
        Job job = jobs.get(forget.jobId());
        if (job == null) {
            return WorkflowOutcome.UNKNOWN_JOB;
        }
        boolean atWork = job.steps().stream().anyMatch(step -> step.activeCount() > 0);
        if (job.phase().isOpen() || atWork) {
            return WorkflowOutcome.UNCHANGED;
        }
        jobs.remove(job.id());
        return WorkflowOutcome.APPLIED;
    }

    private void close(Job job, JobPhase phase) {
        countQueued(job, job.phase() == JobPhase.QUEUED ? -1 : 0);
        job.enter(phase);
        timedJobs.remove(job);
        waitingSteps.removeAll(job.steps());
    }

    private void refreshOccurrence(Job job, int number) {
        Occurrence occurrence = job.occurrence(number);
        if (occurrence != null) {
            occurrence.steps().forEach(this::refresh);
        }
    }

    /** Lists a step among those with tasks to start, or no longer. */
    private void refresh(StepProgress step) {
        Occurrence occurrence = step.job().occurrence(step.name().occurrence());
        boolean wanted =
                occurrence != null && step.job().phase().isOpen() && step.wantsStarts() && occurrence.isTurnOf(step);
        if (wanted) {
            waitingSteps.add(step);
        } else {
            waitingSteps.remove(step);
        }
    }

    private void countQueued(Job job, int change) {
        if (!job.definition().recurrence().isTimed() && change != 0) {
            queuedJobs.merge(job.terms().queue(), change, Integer::sum);
        }
    }

    private HostCommitments commitmentsOf(HostAddress host) {
        return hosts.computeIfAbsent(host.id(), id -> new HostCommitments(host));
    }
}
