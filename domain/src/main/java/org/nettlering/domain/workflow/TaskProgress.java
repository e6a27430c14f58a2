package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * How far one task is.
 *
 * <p>Belongs to a {@link WorkflowState}, which alone changes it. Not thread-safe.
 */
public final class TaskProgress {
    /** The runs whose end is not known; several only for copies. */
    private final List<ActiveRun> activeRuns = new ArrayList<>(1);

    /** The numbers of the runs whose end was inferred and not listed by their host since. */
    private final Set<Integer> unsettledRuns = new TreeSet<>();

    /** The highest number of a run. */
    private int lastRun;

    /** How many runs failed. */
    private int failures;

    /** Whether the work is done. */
    private boolean done;

    /** The newest saved progress, empty if none. */
    private String checkpoint = "";

    TaskProgress() {}

    static TaskProgress from(WorkflowImage.TaskImage image) {
        TaskProgress task = new TaskProgress();
        task.lastRun = image.lastRun();
        task.failures = image.failures();
        task.done = image.done();
        task.checkpoint = image.checkpoint();
        task.activeRuns.addAll(image.activeRuns());
        task.unsettledRuns.addAll(image.unsettledRuns());
        return task;
    }

    WorkflowImage.TaskImage image() {
        return new WorkflowImage.TaskImage(lastRun, failures, done, checkpoint, activeRuns, List.copyOf(unsettledRuns));
    }

    /**
     * Returns the runs whose end is not known.
     *
     * @return a copy, never null
     */
    public List<ActiveRun> activeRuns() {
        return List.copyOf(activeRuns);
    }

    /**
     * Returns the highest number of a run.
     *
     * @return zero before the first run
     */
    public int lastRun() {
        return lastRun;
    }

    /**
     * Returns how many runs failed.
     *
     * @return the number of failures
     */
    public int failures() {
        return failures;
    }

    /**
     * Tells whether the work is done.
     *
     * @return true once a run ended as done
     */
    public boolean isDone() {
        return done;
    }

    /**
     * Returns the newest saved progress.
     *
     * @return the checkpoint, empty if none, never null
     */
    public String checkpoint() {
        return checkpoint;
    }

    boolean isIdle() {
        return activeRuns.isEmpty();
    }

    void start(ActiveRun run) {
        lastRun = run.run().number();
        activeRuns.add(run);
    }

    void remove(RunName run) {
        activeRuns.removeIf(active -> active.run().equals(run));
    }

    /** Takes note that the end of a run was inferred. */
    void leaveUnsettled(RunName run) {
        unsettledRuns.add(run.number());
    }

    /** Takes note that the end of a run is known for certain; returns whether it was only inferred before. */
    boolean settle(RunName run) {
        return unsettledRuns.remove(run.number());
    }

    void save(String saved) {
        if (!saved.isEmpty()) {
            checkpoint = saved;
        }
    }

    void fail() {
        failures++;
    }

    void finish() {
        done = true;
    }
}
