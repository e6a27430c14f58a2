package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;

/**
 * How far one task is.
 *
 * <p>Belongs to a {@link WorkflowState}, which alone changes it. Not thread-safe.
 */
public final class TaskProgress {
    /** The runs whose end is not known; several only for copies. */
    private final List<ActiveRun> activeRuns = new ArrayList<>(1);

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
        return task;
    }

    WorkflowImage.TaskImage image() {
        return new WorkflowImage.TaskImage(lastRun, failures, done, checkpoint, activeRuns);
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
