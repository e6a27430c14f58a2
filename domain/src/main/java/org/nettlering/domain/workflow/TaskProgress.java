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
    private final Set<Integer> unconfirmedRuns = new TreeSet<>();

    /** The highest number of a run. */
    private int lastRunNumber;

    /** How many runs failed. */
    private int failures;

    /** Whether the work is done. */
    private boolean done;

    /** The newest saved progress, empty if none. */
    private String checkpoint = "";

    TaskProgress() {}

    static TaskProgress from(WorkflowStateSnapshot.TaskSnapshot snapshot) {
        TaskProgress task = new TaskProgress();
        task.lastRunNumber = snapshot.lastRunNumber();
        task.failures = snapshot.failures();
        task.done = snapshot.done();
        task.checkpoint = snapshot.checkpoint();
        task.activeRuns.addAll(snapshot.activeRuns());
        task.unconfirmedRuns.addAll(snapshot.unconfirmedRuns());
        return task;
    }

    WorkflowStateSnapshot.TaskSnapshot snapshot() {
        return new WorkflowStateSnapshot.TaskSnapshot(
                lastRunNumber, failures, done, checkpoint, activeRuns, List.copyOf(unconfirmedRuns));
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
    public int lastRunNumber() {
        return lastRunNumber;
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

    boolean hasNoActiveRun() {
        return activeRuns.isEmpty();
    }

    void addActiveRun(ActiveRun run) {
        lastRunNumber = run.run().number();
        activeRuns.add(run);
    }

    void removeActiveRun(RunId run) {
        activeRuns.removeIf(active -> active.run().equals(run));
    }

    /** Takes note that the end of a run was inferred. */
    void markUnconfirmed(RunId run) {
        unconfirmedRuns.add(run.number());
    }

    /** Takes note that the end of a run is known for certain; returns whether it was only inferred before. */
    boolean confirmTermination(RunId run) {
        return unconfirmedRuns.remove(run.number());
    }

    void saveCheckpoint(String newCheckpoint) {
        if (!newCheckpoint.isEmpty()) {
            checkpoint = newCheckpoint;
        }
    }

    void recordFailure() {
        failures++;
    }

    void markDone() {
        done = true;
    }
}
