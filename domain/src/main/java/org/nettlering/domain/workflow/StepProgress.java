package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;

/**
 * How far one step of one occurrence of a job is.
 *
 * <p>Belongs to a {@link WorkflowState}, which alone changes it. Not thread-safe.
 */
public final class StepProgress {
    /** The job. */
    private final Job job;

    /** The name. */
    private final StepId id;

    /** What the tasks are. */
    private final StepSpecification specification;

    /** The tasks by index. */
    private final List<TaskProgress> tasks;

    /** The tasks that are not done and have no run. */
    private final BitSet pending = new BitSet();

    /** How many tasks are not done. */
    private int unfinishedCount;

    /** How many runs are active. */
    private int activeRunCount;

    /** The last run of a gang that counted as a failure. */
    private int lastFailedGangRun;

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
        lastFailedGangRun = snapshot.lastFailedGangRun();
        for (int index = 0; index < tasks.size(); index++) {
            TaskProgress task = tasks.get(index);
            unfinishedCount += task.isDone() ? 0 : 1;
            activeRunCount += task.activeRuns().size();
            pending.set(index, !task.isDone() && task.hasNoActiveRun());
        }
    }

    WorkflowStateSnapshot.StepSnapshot snapshot() {
        return new WorkflowStateSnapshot.StepSnapshot(
                lastFailedGangRun, tasks.stream().map(TaskProgress::snapshot).toList());
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
     * Returns the name.
     *
     * @return the name, never null
     */
    public StepId id() {
        return id;
    }

    /**
     * Returns what the tasks are.
     *
     * @return the specification, never null
     */
    public StepSpecification specification() {
        return specification;
    }

    /**
     * Returns a task.
     *
     * @param index the number of the task, from zero
     * @return the task, never null
     */
    public TaskProgress task(int index) {
        return tasks.get(index);
    }

    /**
     * Returns the tasks that are not done and have no run.
     *
     * @return their indexes in order, never null
     */
    public int[] pendingTasks() {
        return pending.stream().toArray();
    }

    /**
     * Returns how many tasks are not done and have no run.
     *
     * @return the number
     */
    public int pendingCount() {
        return pending.cardinality();
    }

    /**
     * Returns how many tasks are not done.
     *
     * @return the number
     */
    public int unfinishedCount() {
        return unfinishedCount;
    }

    /**
     * Returns how many runs of the step are active.
     *
     * @return the number
     */
    public int activeRunCount() {
        return activeRunCount;
    }

    /**
     * Returns the number that the next run of the whole gang has.
     *
     * @return one more than the highest number of a run
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

    /** Tells whether tasks could start if the step's turn has come. */
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

    /** Notes that a run ended; a gang's member counts for the whole gang. */
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

    /** Notes what the host lists of a run whose end was inferred; returns false if the run's end is known already. */
    boolean confirmTermination(int index, RunId run, TerminalStatus status) {
        if (status.isInferred() || !tasks.get(index).confirmTermination(run)) {
            return false;
        }
        applyStatus(index, run, status);
        return true;
    }

    private void applyStatus(int index, RunId run, TerminalStatus status) {
        TaskProgress task = tasks.get(index);
        boolean gang = specification.has(StepTrait.GANG);
        if (status == TerminalStatus.DONE && !specification.has(StepTrait.LONG_RUNNING)) {
            markDone(gang ? allIndexes() : new int[] {index});
        }
        if (status == TerminalStatus.FAILED && (!gang || run.number() > lastFailedGangRun)) {
            task.recordFailure();
            lastFailedGangRun = gang ? run.number() : 0;
        }
        pending.set(index, !task.isDone() && task.hasNoActiveRun());
    }

    private int[] allIndexes() {
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

    /** Returns how often a task, or the gang that it belongs to, has failed. */
    int failures(int index) {
        if (!specification.has(StepTrait.GANG)) {
            return tasks.get(index).failures();
        }
        return tasks.stream().mapToInt(TaskProgress::failures).sum();
    }
}
