package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;

/**
 * The feasible hosts for the tasks of one step, the best first.
 *
 * <p>Selects the same hosts as a call of {@link HostSelector#select} for each task; of equal hosts, the first one given
 * wins. Each host with room is checked and scored once, and again only after a task was allocated on it. This holds as long
 * as nothing else allocates capacity on these hosts. Not thread-safe.
 */
final class HostRanking {
    private static final Comparator<Candidate> BY_PREFERENCE =
            Comparator.comparing(Candidate::score).thenComparingInt(Candidate::position);

    private final HostSelector selector;

    private final StepId stepId;

    private final StepSpecification step;

    private final String rack;

    private final PoolCapacities pool;

    private final PriorityQueue<Candidate> candidates = new PriorityQueue<>(BY_PREFERENCE);

    /** The position of the host of each allocation. */
    private final List<Integer> allocatedPositions = new ArrayList<>();

    /** The host that is left out, or null if there is none. */
    private final @Nullable HostIncarnation excluded;

    /** Whether hosts stay feasible that do not suit the task at full speed. */
    private final boolean suitabilityIgnored;

    /**
     * Ranks all hosts of a pool on which the task may start, also those on which it would harm latency-critical runs at full
     * speed or would find too few processors idle.
     */
    static HostRanking ofAllowedHosts(
            HostSelector selector, StepId stepId, StepSpecification step, String rack, PoolCapacities pool) {
        return new HostRanking(null, true, selector, stepId, step, rack, pool);
    }

    /** Ranks the hosts of a pool but one. */
    static HostRanking withoutHost(
            HostIncarnation excluded,
            HostSelector selector,
            StepId stepId,
            StepSpecification step,
            String rack,
            PoolCapacities pool) {
        return new HostRanking(excluded, false, selector, stepId, step, rack, pool);
    }

    HostRanking(HostSelector selector, StepId stepId, StepSpecification step, String rack, PoolCapacities pool) {
        this(null, false, selector, stepId, step, rack, pool);
    }

    private HostRanking(
            @Nullable HostIncarnation excluded,
            boolean suitabilityIgnored,
            HostSelector selector,
            StepId stepId,
            StepSpecification step,
            String rack,
            PoolCapacities pool) {
        this.excluded = excluded;
        this.suitabilityIgnored = suitabilityIgnored;
        this.selector = selector;
        this.stepId = stepId;
        this.step = step;
        this.rack = rack;
        this.pool = pool;
        if (suitabilityIgnored) {
            pool.forEachWithAllocation(step, this::offer);
        } else {
            pool.forEachWithRoom(step, this::offer);
        }
    }

    /** A feasible host, its score and its position in the pool. */
    private record Candidate(FreeCapacity capacity, HostScore score, int position) {}

    private void offer(int position) {
        FreeCapacity capacity = pool.all().get(position);
        if (!capacity.host().equals(excluded) && isFeasible(capacity)) {
            candidates.add(new Candidate(capacity, selector.score(step, rack, capacity), position));
        }
    }

    private boolean isFeasible(FreeCapacity capacity) {
        return suitabilityIgnored ? capacity.mayStart(stepId, step) : selector.isFeasible(stepId, step, capacity);
    }

    /** Returns the best host, or empty if no host is feasible. */
    Optional<FreeCapacity> best() {
        return Optional.ofNullable(candidates.peek()).map(Candidate::capacity);
    }

    /** Allocates capacity for one more task on the best host and returns it, or empty if no host is feasible. */
    Optional<FreeCapacity> allocateBest() {
        Candidate best = candidates.poll();
        if (best == null) {
            return Optional.empty();
        }
        selector.allocate(stepId, step, best.capacity());
        allocatedPositions.add(best.position());
        pool.refresh(best.position());
        offer(best.position());
        return Optional.of(best.capacity());
    }

    /** Releases all that was allocated; the ranking must not be used afterwards. */
    void releaseAll() {
        for (int position : allocatedPositions) {
            pool.all().get(position).release(stepId, step);
            pool.refresh(position);
        }
        allocatedPositions.clear();
    }
}
