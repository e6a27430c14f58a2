package org.nettlering.domain.workflow;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.task.Resources;

/**
 * The active runs of one host incarnation, and the resources that are allocated to them.
 *
 * <p>Owned by a {@link WorkflowState}, which alone modifies it. Not thread-safe.
 */
public final class HostAllocations {
    private final HostIncarnation host;

    private final Map<RunId, PlacedRun> runs = new LinkedHashMap<>();

    /** The sum of the allocations of all runs. */
    private Resources allocated = Resources.NONE;

    /** The processor demand of the best-effort runs, to which no processors are allocated. */
    private long bestEffortMillicores;

    private int latencyCriticalCount;

    private long latencyCriticalMillicores;

    private long version;

    /**
     * Returns allocations without any run.
     *
     * @param host the host incarnation, not null
     * @return new allocations, never null
     */
    public static HostAllocations empty(HostIncarnation host) {
        return new HostAllocations(host);
    }

    HostAllocations(HostIncarnation host) {
        this.host = host;
    }

    private record PlacedRun(ActiveRun run, StepProgress step) {}

    /**
     * Returns the host incarnation.
     *
     * @return the host incarnation, never null
     */
    public HostIncarnation host() {
        return host;
    }

    /**
     * Returns the active runs.
     *
     * @return a copy, never null
     */
    public Collection<ActiveRun> runs() {
        return List.copyOf(runs.values().stream().map(PlacedRun::run).toList());
    }

    /**
     * Returns the step specification of each run.
     *
     * @return a new list with one entry for each run, never null
     */
    public List<StepSpecification> specifications() {
        return runs.values().stream()
                .map(placedRun -> placedRun.step().specification())
                .toList();
    }

    /**
     * Returns the resources that are allocated to the runs.
     *
     * @return the sum, never null
     */
    public Resources allocated() {
        return allocated;
    }

    /**
     * Returns the processor demand of the best-effort runs.
     *
     * <p>It is not part of {@link #allocated()}, as best-effort runs have no processors allocated.
     *
     * @return the sum in millicores
     */
    public long bestEffortMillicores() {
        return bestEffortMillicores;
    }

    /**
     * Returns the number of latency-critical runs.
     *
     * @return the number of runs whose step has a latency target
     */
    public int latencyCriticalCount() {
        return latencyCriticalCount;
    }

    /**
     * Returns the processor demand of the latency-critical runs.
     *
     * @return the sum in millicores
     */
    public long latencyCriticalMillicores() {
        return latencyCriticalMillicores;
    }

    /**
     * Returns the version of these allocations, which shows whether a copy of them is out of date.
     *
     * @return a number that increases whenever a run is added or removed
     */
    public long version() {
        return version;
    }

    /**
     * Returns the number of active runs of a step on this host.
     *
     * @param step the step, not null
     * @return the number of runs, not negative
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
