package org.nettlering.domain.workflow;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.task.Resources;

/**
 * The runs that may be at work on one life of a host, and what they take of it.
 *
 * <p>Belongs to a {@link WorkflowState}, which alone changes it. Not thread-safe.
 */
public final class HostCommitments {
    /** The host. */
    private final HostAddress host;

    /** The runs and their steps. */
    private final Map<RunName, Placed> runs = new LinkedHashMap<>();

    /** What the runs commit. */
    private Resources committed = Resources.NONE;

    /** The processors of the runs that only fill, in millicores. */
    private long fillingMillicores;

    /** How many runs serve users within a target. */
    private int serving;

    /** The processors that these runs commit, in millicores. */
    private long servingMillicores;

    /** How often the runs have changed. */
    private long changes;

    /**
     * Returns commitments without any run.
     *
     * @param host the host, not null
     * @return new commitments, never null
     */
    public static HostCommitments none(HostAddress host) {
        return new HostCommitments(host);
    }

    HostCommitments(HostAddress host) {
        this.host = host;
    }

    /** A run and its step. */
    private record Placed(ActiveRun run, StepProgress step) {}

    /**
     * Returns the host.
     *
     * @return the host, never null
     */
    public HostAddress host() {
        return host;
    }

    /**
     * Returns the runs.
     *
     * @return a copy, never null
     */
    public Collection<ActiveRun> runs() {
        return List.copyOf(runs.values().stream().map(Placed::run).toList());
    }

    /**
     * Returns what the runs are, one entry for each run.
     *
     * @return the specifications of their steps, never null
     */
    public List<StepSpecification> specifications() {
        return runs.values().stream()
                .map(placed -> placed.step().specification())
                .toList();
    }

    /**
     * Returns what the runs commit.
     *
     * @return the sum, never null
     */
    public Resources committed() {
        return committed;
    }

    /**
     * Returns the processors that the runs that only fill would use.
     *
     * @return the sum in millicores
     */
    public long fillingMillicores() {
        return fillingMillicores;
    }

    /**
     * Returns how many runs serve users within a target.
     *
     * @return the number
     */
    public int serving() {
        return serving;
    }

    /**
     * Returns the processors that the runs that serve users commit.
     *
     * @return the sum in millicores
     */
    public long servingMillicores() {
        return servingMillicores;
    }

    /**
     * Returns how often the runs have changed, by which a copy of what they commit is known to be out of date.
     *
     * @return a number that rises with each change
     */
    public long changes() {
        return changes;
    }

    /**
     * Returns how many runs of a step are here.
     *
     * @param step the step, not null
     * @return the number
     */
    public int countOf(StepName step) {
        int count = 0;
        for (RunName run : runs.keySet()) {
            count += run.task().step().equals(step) ? 1 : 0;
        }
        return count;
    }

    void add(ActiveRun run, StepProgress step) {
        runs.put(run.run(), new Placed(run, step));
        account(step.specification(), 1);
    }

    boolean remove(RunName run) {
        Placed removed = runs.remove(run);
        if (removed != null) {
            account(removed.step().specification(), -1);
        }
        return removed != null;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    private void account(StepSpecification step, int sign) {
        changes++;
        committed = sign > 0 ? committed.plus(step.commitment()) : committed.minus(step.commitment());
        if (step.has(StepTrait.FILLS)) {
            fillingMillicores += sign * step.demand().millicores();
        }
        if (step.serves()) {
            serving += sign;
            servingMillicores += sign * step.demand().millicores();
        }
    }
}
