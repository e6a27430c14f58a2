package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.nettlering.domain.workflow.runtime.RunTimeEstimate;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The progress of one step of one occurrence of a job.
 *
 * <p>Owned by a {@link WorkflowState}, which alone modifies it. Not thread-safe.
 */
public final class StepProgress {
    /** The number of host crashes after which a task is given up if it was the only suspect of the latest one. */
    private static final int MAX_HOST_CRASHES = 2;

    /** The number of host crashes after which a task is given up although others were suspects, too. */
    private static final int MAX_SUSPECTED_CRASHES = 4;

    /**
     * The number of possible host crashes after which a task is given up although nothing shows that it had begun at each: as
     * many hosts in a row do not crash by chance just when they are to start it, after they have been in contact.
     */
    private static final int MAX_POSSIBLE_CRASHES = 5;

    private final Job job;

    private final StepId id;

    private final StepSpecification specification;

    private final List<TaskProgress> tasks;

    /** The indexes of the tasks that are not done and have no active run. */
    private final BitSet pending = new BitSet();

    private int unfinishedCount;

    private int activeRunCount;

    private boolean hasSuspects;

    /** The numbers of the runs of a gang that counted as failures; empty for other steps and for long-running ones. */
    private final SortedSet<Integer> failedGangRuns = new TreeSet<>();

    StepProgress(Job job, StepId id, StepSpecification specification) {
        this.job = job;
        this.id = id;
        this.specification = specification;
        tasks = new ArrayList<>(specification.taskCount());
        for (int index = 0; index < specification.taskCount(); index++) {
            tasks.add(new TaskProgress());
        }
        unfinishedCount = specification.taskCount();
        pending.set(0, specification.taskCount());
    }

    StepProgress(Job job, StepId id, StepSpecification specification, WorkflowStateSnapshot.StepSnapshot snapshot) {
        this.job = job;
        this.id = id;
        this.specification = specification;
        tasks = new ArrayList<>(
                snapshot.tasks().stream().map(TaskProgress::from).toList());
        failedGangRuns.addAll(snapshot.failedGangRuns());
        for (int index = 0; index < tasks.size(); index++) {
            TaskProgress task = tasks.get(index);
            unfinishedCount += task.isDone() ? 0 : 1;
            activeRunCount += task.activeRuns().size();
            hasSuspects |= task.isSuspect();
            pending.set(index, !task.isDone() && task.hasNoActiveRun());
        }
    }

    WorkflowStateSnapshot.StepSnapshot snapshot() {
        return new WorkflowStateSnapshot.StepSnapshot(
                List.copyOf(failedGangRuns),
                tasks.stream().map(TaskProgress::snapshot).toList());
    }

    /**
     * Returns the job.
     *
     * @return the job, never null
     */
    public Job job() {
        return job;
    }

    /**
     * Returns the id of the step.
     *
     * @return the id, never null
     */
    public StepId id() {
        return id;
    }

    /**
     * Returns the specification of the step.
     *
     * @return the specification, never null
     */
    public StepSpecification specification() {
        return specification;
    }

    /**
     * Returns the progress of a task.
     *
     * @param index the number of the task, from zero
     * @return the progress of the task, never null
     */
    public TaskProgress task(int index) {
        return tasks.get(index);
    }

    /**
     * Returns the pending tasks: those that are not done and have no active run.
     *
     * @return their indexes in ascending order, never null
     */
    public int[] pendingTasks() {
        return pending.stream().toArray();
    }

    /**
     * Returns the number of pending tasks.
     *
     * @return the number of tasks that are not done and have no active run
     */
    public int pendingCount() {
        return pending.cardinality();
    }

    /**
     * Returns the number of unfinished tasks.
     *
     * @return the number of tasks that are not done, with or without an active run
     */
    public int unfinishedCount() {
        return unfinishedCount;
    }

    /**
     * Returns the estimated remaining work of all steps of the occurrence.
     *
     * @param runTimes estimates run times, not null
     * @return the remaining work, never null
     */
    public RemainingWork remainingWorkOfOccurrence(RunTimeModel runTimes) {
        Occurrence occurrence = job.occurrence(id.occurrence());
        return occurrence == null ? RemainingWork.none() : occurrence.remainingWork(runTimes);
    }

    /**
     * Estimates the run time of the tasks of the step.
     *
     * @param runTimes estimates run times, not null
     * @return the estimate, never null
     */
    public RunTimeEstimate estimateRunTime(RunTimeModel runTimes) {
        return runTimes.estimate(job.terms().queue(), id, specification.estimatedRuntimeMillis());
    }

    /**
     * Returns the number of active runs.
     *
     * @return the number of runs without a committed termination
     */
    public int activeRunCount() {
        return activeRunCount;
    }

    /**
     * Returns the number that the members of a gang share in its next run.
     *
     * @return one more than the highest run number of any task
     */
    public int nextGangRunNumber() {
        int highest = 0;
        for (TaskProgress task : tasks) {
            highest = Math.max(highest, task.lastRunNumber());
        }
        return highest + 1;
    }

    boolean isDone() {
        return unfinishedCount == 0;
    }

    /** Returns whether the ends of its runs show that a run of the step has begun on a host. */
    boolean hasCertainlyBegun() {
        // The numbers of a gang's runs skip those in which a member had no part.
        boolean numbersAreConsecutive = !specification.has(StepTrait.GANG);
        return tasks.stream().anyMatch(task -> task.hasCertainlyBegun(numbersAreConsecutive));
    }

    /** Returns whether tasks can start, provided that the dependencies of the step are done. */
    boolean canStartTasks() {
        boolean gangIsRunning = specification.has(StepTrait.GANG) && activeRunCount > 0;
        return !pending.isEmpty() && !gangIsRunning;
    }

    boolean canStart(int index, RunId run) {
        TaskProgress task = tasks.get(index);
        boolean copyAllowed = specification.has(StepTrait.SPECULATIVE);
        return !task.isDone() && run.number() > task.lastRunNumber() && (task.hasNoActiveRun() || copyAllowed);
    }

    void startRun(int index, ActiveRun run) {
        tasks.get(index).addActiveRun(run);
        pending.clear(index);
        activeRunCount++;
    }

    /** Records the termination of an active run. */
    void endRun(int index, RunId run, TerminalStatus status, String checkpoint) {
        TaskProgress task = tasks.get(index);
        task.removeActiveRun(run);
        activeRunCount--;
        task.saveCheckpoint(checkpoint);
        if (status.isInferred()) {
            task.markUnconfirmed(run);
        }
        applyStatus(index, run, status);
    }

    /**
     * Records what became known of a run whose termination was inferred: the status that its host reported, or that its
     * host had crashed.
     *
     * <p>Returns false and changes nothing for any other status, or if the run has no unconfirmed termination.
     */
    boolean confirmTermination(int index, RunId run, TerminalStatus status) {
        TaskProgress task = tasks.get(index);
        if (status.isPossibleHostCrash()) {
            return task.isUnconfirmed(run) && recordHostCrash(task, run, status);
        }
        if (status.isInferred() || !task.confirmTermination(run)) {
            return false;
        }
        applyStatus(index, run, status);
        return true;
    }

    /** Applies a terminal status. One member that is done completes the whole gang; failures count once per gang run. */
    private void applyStatus(int index, RunId run, TerminalStatus status) {
        TaskProgress task = tasks.get(index);
        boolean isGang = specification.has(StepTrait.GANG);
        if (status == TerminalStatus.DONE && !specification.has(StepTrait.LONG_RUNNING)) {
            markDone(isGang ? allTaskIndexes() : new int[] {index});
        }
        if (status == TerminalStatus.FAILED && countsAsFailure(run)) {
            task.recordFailure();
        }
        if (status.isPossibleHostCrash()) {
            recordHostCrash(task, run, status);
        }
        pending.set(index, !task.isDone() && task.hasNoActiveRun());
    }

    private boolean recordHostCrash(TaskProgress task, RunId run, TerminalStatus status) {
        hasSuspects = true;
        return task.recordHostCrash(run, status);
    }

    /** Returns whether a failed run is a further failure of its task, or the first one of its gang's run. */
    private boolean countsAsFailure(RunId run) {
        if (!specification.has(StepTrait.GANG) || specification.has(StepTrait.LONG_RUNNING)) {
            // Long-running tasks have no limit of failures, so their runs need not be told apart.
            return true;
        }
        return failedGangRuns.add(run.number());
    }

    private int[] allTaskIndexes() {
        int[] indexes = new int[tasks.size()];
        for (int index = 0; index < indexes.length; index++) {
            indexes[index] = index;
        }
        return indexes;
    }

    private void markDone(int[] indexes) {
        for (int index : indexes) {
            TaskProgress task = tasks.get(index);
            if (!task.isDone()) {
                task.markDone();
                unfinishedCount--;
            }
            pending.clear(index);
        }
    }

    /**
     * Returns whether a task of the step may have crashed a host.
     *
     * @return true if a run of any task ended as {@link TerminalStatus#isPossibleHostCrash}
     */
    public boolean hasSuspects() {
        return hasSuspects;
    }

    /**
     * Returns whether a task is to be given up because it crashes its hosts. One that is only suspected is started more
     * often, so that it is found out which of the runs that started together is the cause, and whether it had begun at all.
     */
    boolean crashesHosts(int index, TerminalStatus latestStatus) {
        TaskProgress task = tasks.get(index);
        if (task.isDone()) {
            return false;
        }
        int allowed = latestStatus == TerminalStatus.CRASHED_HOST ? MAX_HOST_CRASHES : MAX_SUSPECTED_CRASHES;
        return task.hostCrashes() >= allowed || task.possibleHostCrashes() >= MAX_POSSIBLE_CRASHES;
    }

    /** Returns how often a task, or the gang that it belongs to, has failed. */
    int failures(int index) {
        if (!specification.has(StepTrait.GANG)) {
            return tasks.get(index).failures();
        }
        return tasks.stream().mapToInt(TaskProgress::failures).sum();
    }
}
