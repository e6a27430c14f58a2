package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import java.util.PriorityQueue;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;

/**
 * The hosts with room for the tasks of one step, the best first.
 *
 * <p>Guarantees the same choices as asking {@link HostSelector} anew for each task, of equal hosts the one that was named first,
 * while each host is examined once and then only after it took a task. Holds as long as nothing else takes room of these
 * hosts. Not thread-safe.
 */
final class HostRanking {
    /** Chooses hosts. */
    private final HostSelector selector;

    /** The name of the step. */
    private final StepId stepId;

    /** The step. */
    private final StepSpecification step;

    /** The hosts with room. */
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

    /** A host and its place among those that were named. */
    private record Candidate(FreeCapacity capacity, int position) {}

    private void offer(Candidate candidate) {
        if (selector.isFeasible(stepId, step, candidate.capacity())) {
            candidates.add(candidate);
        }
    }

    /** Takes the room of one more task on the best host, and returns that host, or empty if there is none with room. */
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
