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
public final class HostAllocations {
    /** The host. */
    private final HostIncarnation host;

    /** The runs and their steps. */
    private final Map<RunId, PlacedRun> runs = new LinkedHashMap<>();

    /** What the runs commit. */
    private Resources allocated = Resources.NONE;

    /** The processors of the runs that only fill, in millicores. */
    private long bestEffortMillicores;

    /** How many runs serve users within a target. */
    private int latencyCriticalCount;

    /** The processors that these runs commit, in millicores. */
    private long latencyCriticalMillicores;

    /** How often the runs have changed. */
    private long version;

    /**
     * Returns commitments without any run.
     *
     * @param host the host, not null
     * @return new commitments, never null
     */
    public static HostAllocations empty(HostIncarnation host) {
        return new HostAllocations(host);
    }

    HostAllocations(HostIncarnation host) {
        this.host = host;
    }

    /** A run and its step. */
    private record PlacedRun(ActiveRun run, StepProgress step) {}

    /**
     * Returns the host.
     *
     * @return the host, never null
     */
    public HostIncarnation host() {
        return host;
    }

    /**
     * Returns the runs.
     *
     * @return a copy, never null
     */
    public Collection<ActiveRun> runs() {
        return List.copyOf(runs.values().stream().map(PlacedRun::run).toList());
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
    public Resources allocated() {
        return allocated;
    }

    /**
     * Returns the processors that the runs that only fill would use.
     *
     * @return the sum in millicores
     */
    public long bestEffortMillicores() {
        return bestEffortMillicores;
    }

    /**
     * Returns how many runs serve users within a target.
     *
     * @return the number
     */
    public int latencyCriticalCount() {
        return latencyCriticalCount;
    }

    /**
     * Returns the processors that the runs that serve users commit.
     *
     * @return the sum in millicores
     */
    public long latencyCriticalMillicores() {
        return latencyCriticalMillicores;
    }

    /**
     * Returns how often the runs have changed, by which a copy of what they commit is known to be out of date.
     *
     * @return a number that rises with each change
     */
    public long version() {
        return version;
    }

    /**
     * Returns how many runs of a step are here.
     *
     * @param step the step, not null
     * @return the number
     */
    public int countOf(StepId step) {
        int count = 0;
        for (RunId run : runs.keySet()) {
            count += run.task().step().equals(step) ? 1 : 0;
        }
        return count;
    }

    void add(ActiveRun run, StepProgress step) {
        runs.put(run.run(), new PlacedRun(run, step));
        updateTotals(step.specification(), 1);
    }

    boolean remove(RunId run) {
        PlacedRun removed = runs.remove(run);
        if (removed != null) {
            updateTotals(removed.step().specification(), -1);
        }
        return removed != null;
    }

    boolean isEmpty() {
        return runs.isEmpty();
    }

    private void updateTotals(StepSpecification step, int sign) {
        version++;
        allocated = sign > 0 ? allocated.plus(step.allocation()) : allocated.minus(step.allocation());
        if (step.has(StepTrait.BEST_EFFORT)) {
            bestEffortMillicores += sign * step.demand().millicores();
        }
        if (step.isLatencyCritical()) {
            latencyCriticalCount += sign;
            latencyCriticalMillicores += sign * step.demand().millicores();
        }
    }
}
