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
    private final StepName name;

    /** What the tasks are. */
    private final StepSpecification specification;

    /** The tasks by index. */
    private final List<TaskProgress> tasks;

    /** The tasks that are not done and have no run. */
    private final BitSet waiting = new BitSet();

    /** How many tasks are not done. */
    private int undone;

    /** How many runs are active. */
    private int active;

    /** The last run of a gang that counted as a failure. */
    private int lastGangFailure;

    StepProgress(Job job, StepName name, StepSpecification specification) {
        this.job = job;
        this.name = name;
        this.specification = specification;
        tasks = new ArrayList<>(specification.count());
        for (int index = 0; index < specification.count(); index++) {
            tasks.add(new TaskProgress());
        }
        undone = specification.count();
        waiting.set(0, specification.count());
    }

    StepProgress(Job job, StepName name, StepSpecification specification, WorkflowImage.StepImage image) {
        this.job = job;
        this.name = name;
        this.specification = specification;
        tasks = new ArrayList<>(image.tasks().stream().map(TaskProgress::from).toList());
        lastGangFailure = image.lastGangFailure();
        for (int index = 0; index < tasks.size(); index++) {
            TaskProgress task = tasks.get(index);
            undone += task.isDone() ? 0 : 1;
            active += task.activeRuns().size();
            waiting.set(index, !task.isDone() && task.isIdle());
        }
    }

    WorkflowImage.StepImage image() {
        return new WorkflowImage.StepImage(
                lastGangFailure, tasks.stream().map(TaskProgress::image).toList());
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
    public StepName name() {
        return name;
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
    public int[] waitingTasks() {
        return waiting.stream().toArray();
    }

    /**
     * Returns how many tasks are not done and have no run.
     *
     * @return the number
     */
    public int waitingCount() {
        return waiting.cardinality();
    }

    /**
     * Returns how many tasks are not done.
     *
     * @return the number
     */
    public int undoneCount() {
        return undone;
    }

    /**
     * Returns how many runs of the step are active.
     *
     * @return the number
     */
    public int activeCount() {
        return active;
    }

    /**
     * Returns the number that the next run of the whole gang has.
     *
     * @return one more than the highest number of a run
     */
    public int nextGangRun() {
        int highest = 0;
        for (TaskProgress task : tasks) {
            highest = Math.max(highest, task.lastRun());
        }
        return highest + 1;
    }

    boolean isDone() {
        return undone == 0;
    }

    /** Tells whether tasks could start if the step's turn has come. */
    boolean wantsStarts() {
        boolean gangAtWork = specification.has(StepTrait.GANG) && active > 0;
        return !waiting.isEmpty() && !gangAtWork;
    }

    boolean allowsStart(int index, RunName run) {
        TaskProgress task = tasks.get(index);
        boolean copyAllowed = specification.has(StepTrait.SPECULATIVE);
        return !task.isDone() && run.number() > task.lastRun() && (task.isIdle() || copyAllowed);
    }

    void start(int index, ActiveRun run) {
        tasks.get(index).start(run);
        waiting.clear(index);
        active++;
    }

    /** Notes that a run ended; a gang's member counts for the whole gang. */
    void end(int index, RunName run, RunEnd how, String checkpoint) {
        TaskProgress task = tasks.get(index);
        task.remove(run);
        active--;
        task.save(checkpoint);
        if (how.isInferred()) {
            task.leaveUnsettled(run);
        }
        take(index, run, how);
    }

    /** Notes what the host lists of a run whose end was inferred; returns false if the run's end is known already. */
    boolean settle(int index, RunName run, RunEnd how) {
        if (how.isInferred() || !tasks.get(index).settle(run)) {
            return false;
        }
        take(index, run, how);
        return true;
    }

    private void take(int index, RunName run, RunEnd how) {
        TaskProgress task = tasks.get(index);
        boolean gang = specification.has(StepTrait.GANG);
        if (how == RunEnd.DONE && !specification.has(StepTrait.LONG_RUNNING)) {
            finish(gang ? allIndexes() : new int[] {index});
        }
        if (how == RunEnd.FAILED && (!gang || run.number() > lastGangFailure)) {
            task.fail();
            lastGangFailure = gang ? run.number() : 0;
        }
        waiting.set(index, !task.isDone() && task.isIdle());
    }

    private int[] allIndexes() {
        int[] indexes = new int[tasks.size()];
        for (int index = 0; index < indexes.length; index++) {
            indexes[index] = index;
        }
        return indexes;
    }

    private void finish(int[] indexes) {
        for (int index : indexes) {
            TaskProgress task = tasks.get(index);
            if (!task.isDone()) {
                task.finish();
                undone--;
            }
            waiting.clear(index);
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
