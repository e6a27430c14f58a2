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
 * <p>Guarantees the same choices as asking {@link HostChoice} anew for each task, of equal hosts the one that was named first,
 * while each host is examined once and then only after it took a task. Holds as long as nothing else takes room of these
 * hosts. Not thread-safe.
 */
final class HostRanking {
    /** Chooses hosts. */
    private final HostChoice choice;

    /** The name of the step. */
    private final StepId name;

    /** The step. */
    private final StepSpecification step;

    /** The hosts with room. */
    private final PriorityQueue<Ranked> ranked;

    HostRanking(HostChoice choice, StepId name, StepSpecification step, String rack, Collection<HostRoom> rooms) {
        this.choice = choice;
        this.name = name;
        this.step = step;
        Comparator<Ranked> order = (left, right) -> choice.compare(step, rack, left.room(), right.room());
        ranked = new PriorityQueue<>(order.thenComparingInt(Ranked::position));
        int position = 0;
        for (HostRoom room : rooms) {
            offer(new Ranked(room, position));
            position++;
        }
    }

    /** A host and its place among those that were named. */
    private record Ranked(HostRoom room, int position) {}

    private void offer(Ranked candidate) {
        if (choice.isAllowed(name, step, candidate.room())) {
            ranked.add(candidate);
        }
    }

    /** Takes the room of one more task on the best host, and returns that host, or empty if there is none with room. */
    Optional<HostRoom> takeBest() {
        Ranked best = ranked.poll();
        if (best == null) {
            return Optional.empty();
        }
        choice.take(name, step, best.room());
        offer(best);
        return Optional.of(best.room());
    }
}
