package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;

/**
 * The feasible hosts for the tasks of one step, the best first.
 *
 * <p>Selects the same hosts as a call of {@link HostSelector#select} for each task; of equal hosts, the first one given
 * wins. Each host is checked once, and again only after a task was allocated on it. This holds as long as nothing else
 * allocates capacity on these hosts. Not thread-safe.
 */
final class HostRanking {
    private final HostSelector selector;

    private final StepId stepId;

    private final StepSpecification step;

    private final PriorityQueue<Candidate> candidates;

    HostRanking(
            HostSelector selector,
            StepId stepId,
            StepSpecification step,
            String rack,
            Collection<FreeCapacity> capacities) {
        this.selector = selector;
        this.stepId = stepId;
        this.step = step;
        Comparator<Candidate> byPreference =
                (left, right) -> selector.compare(step, rack, left.capacity(), right.capacity());
        candidates = new PriorityQueue<>(byPreference.thenComparingInt(Candidate::position));
        int position = 0;
        for (FreeCapacity capacity : capacities) {
            offer(new Candidate(capacity, position));
            position++;
        }
    }

    /** A host and its position among the given ones. */
    private record Candidate(FreeCapacity capacity, int position) {}

    private void offer(Candidate candidate) {
        if (selector.isFeasible(stepId, step, candidate.capacity())) {
            candidates.add(candidate);
        }
    }

    /** Allocates capacity for one more task on the best host and returns it, or empty if no host is feasible. */
    Optional<FreeCapacity> allocateBest() {
        Candidate best = candidates.poll();
        if (best == null) {
            return Optional.empty();
        }
        selector.allocate(stepId, step, best.capacity());
        offer(best);
        return Optional.of(best.capacity());
    }
}
