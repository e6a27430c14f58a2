package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
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

    HostRanking(HostSelector selector, StepId stepId, StepSpecification step, String rack, PoolCapacities pool) {
        this.selector = selector;
        this.stepId = stepId;
        this.step = step;
        this.rack = rack;
        this.pool = pool;
        pool.forEachWithRoom(step, this::offer);
    }

    /** A feasible host, its score and its position in the pool. */
    private record Candidate(FreeCapacity capacity, HostScore score, int position) {}

    private void offer(int position) {
        FreeCapacity capacity = pool.all().get(position);
        if (selector.isFeasible(stepId, step, capacity)) {
            candidates.add(new Candidate(capacity, selector.score(step, rack, capacity), position));
        }
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
