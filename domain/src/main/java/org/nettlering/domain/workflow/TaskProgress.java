package org.nettlering.domain.workflow;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Stream;

/**
 * The progress of one task.
 *
 * <p>Owned by a {@link WorkflowState}, which alone modifies it. Not thread-safe.
 */
public final class TaskProgress {
    /** The runs without a committed termination; more than one only for speculative copies. */
    private final List<ActiveRun> activeRuns = new ArrayList<>(1);

    /** The numbers of the runs whose termination was inferred and has not been reported by their host since. */
    private final Set<Integer> unconfirmedRuns = new TreeSet<>();

    /** The numbers of the runs that had begun just before their host crashed, ascending; immutable, as most have none. */
    private List<Integer> crashRuns = List.of();

    /** The numbers of the runs whose host crashed and of which nothing shows that they had begun, ascending; immutable. */
    private List<Integer> unconfirmedCrashRuns = List.of();

    private int lastRunNumber;

    private int failures;

    private boolean done;

    /** The latest checkpoint, empty if none. */
    private String checkpoint = "";

    TaskProgress() {}

    static TaskProgress from(WorkflowStateSnapshot.TaskSnapshot snapshot) {
        TaskProgress task = new TaskProgress();
        task.lastRunNumber = snapshot.lastRunNumber();
        task.failures = snapshot.failures();
        task.crashRuns = snapshot.crashRuns();
        task.unconfirmedCrashRuns = snapshot.unconfirmedCrashRuns();
        task.done = snapshot.done();
        task.checkpoint = snapshot.checkpoint();
        task.activeRuns.addAll(snapshot.activeRuns());
        task.unconfirmedRuns.addAll(snapshot.unconfirmedRuns());
        return task;
    }

    WorkflowStateSnapshot.TaskSnapshot snapshot() {
        return new WorkflowStateSnapshot.TaskSnapshot(
                lastRunNumber,
                failures,
                done,
                checkpoint,
                activeRuns,
                List.copyOf(unconfirmedRuns),
                crashRuns,
                unconfirmedCrashRuns);
    }

    /**
     * Returns the runs without a committed termination.
     *
     * @return a copy, never null
     */
    public List<ActiveRun> activeRuns() {
        return List.copyOf(activeRuns);
    }

    /**
     * Returns the highest run number so far.
     *
     * @return the number, zero before the first run
     */
    public int lastRunNumber() {
        return lastRunNumber;
    }

    /**
     * Returns how many runs of the task failed.
     *
     * @return the number of failures; for a gang, several members that fail in the same run count as one
     */
    public int failures() {
        return failures;
    }

    /**
     * Returns how many hosts crashed just after they had started the task.
     *
     * @return the number of runs that had begun and may have crashed their host
     */
    public int hostCrashes() {
        return crashRuns.size();
    }

    /**
     * Returns how many hosts crashed that had started the task or were to start it.
     *
     * @return the number of runs that ended as {@link TerminalStatus#isPossibleHostCrash}
     */
    public int possibleHostCrashes() {
        return crashRuns.size() + unconfirmedCrashRuns.size();
    }

    /**
     * Returns whether the task is suspected of crashing its hosts.
     *
     * @return true if a run ended as {@link TerminalStatus#isPossibleHostCrash}
     */
    public boolean isSuspect() {
        return possibleHostCrashes() > 0;
    }

    /**
     * Returns whether the work of the task is done.
     *
     * @return true once a run has terminated with {@link TerminalStatus#DONE}
     */
    public boolean isDone() {
        return done;
    }

    /**
     * Returns the latest checkpoint.
     *
     * @return the checkpoint, empty if none, never null
     */
    public String checkpoint() {
        return checkpoint;
    }

    /**
     * Returns whether the ends of its runs show that one has begun on a host.
     *
     * @param numbersAreConsecutive whether every number up to the last one is that of a run
     */
    boolean hasCertainlyBegun(boolean numbersAreConsecutive) {
        boolean endReported = lastRunNumber > activeRuns.size() + unconfirmedRuns.size();
        boolean workShown = done || failures > 0 || !crashRuns.isEmpty() || !checkpoint.isEmpty();
        return workShown || (numbersAreConsecutive && endReported);
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

    /** Records that the termination of a run was inferred. */
    void markUnconfirmed(RunId run) {
        unconfirmedRuns.add(run.number());
    }

    /** Returns whether the termination of a run was only inferred. */
    boolean isUnconfirmed(RunId run) {
        return unconfirmedRuns.contains(run.number());
    }

    /** Records that the host reported the termination of a run; returns whether it was only inferred before. */
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

    /**
     * Records that a run may have crashed its host; returns false if that was recorded before.
     *
     * @param status {@link TerminalStatus#CRASH_UNCONFIRMED} if nothing shows that the run had begun
     */
    boolean recordHostCrash(RunId run, TerminalStatus status) {
        if (crashRuns.contains(run.number()) || unconfirmedCrashRuns.contains(run.number())) {
            return false;
        }
        if (status == TerminalStatus.CRASH_UNCONFIRMED) {
            unconfirmedCrashRuns = with(unconfirmedCrashRuns, run.number());
        } else {
            crashRuns = with(crashRuns, run.number());
        }
        return true;
    }

    private static List<Integer> with(List<Integer> numbers, int added) {
        return Stream.concat(numbers.stream(), Stream.of(added)).sorted().toList();
    }

    void markDone() {
        done = true;
    }
}
