package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.sharing.SharingGuard;

/**
 * Plans which runs are stopped to go on elsewhere.
 *
 * <p>Answers runs that were placed before it was known what they disturb: they are held back for as long as they stay, while
 * other hosts would bear them. Such a run is moved if another host has room for it and its services would be strained by
 * much less. Used after the starts of a plan were taken off the rooms, so that work that waits comes first. Not
 * thread-safe.
 */
final class MovePlanner {
    /** The most moves of one plan: each stops work for a moment. */
    private static final int MAX_MOVES = 8;

    /** A move is worth it if it adds at most one part in this many of the strain that the run would add where it is. */
    private static final int LEAST_GAIN_FACTOR = 2;

    /** Chooses hosts; what the plan added before counts. */
    private final HostChoice choice;

    /** The rooms; moves are taken off. */
    private final Collection<HostRoom> rooms;

    MovePlanner(HostChoice choice, Collection<HostRoom> rooms) {
        this.choice = choice;
        this.rooms = rooms;
    }

    List<ActiveRun> plan(Collection<HeldBackRun> heldBack) {
        List<ActiveRun> moves = new ArrayList<>();
        for (HeldBackRun each : heldBack) {
            if (moves.size() < MAX_MOVES && planMove(each)) {
                moves.add(each.run());
            }
        }
        return moves;
    }

    private boolean planMove(HeldBackRun heldBack) {
        StepSpecification step = heldBack.step().specification();
        String hostId = heldBack.run().host().id();
        Optional<HostRoom> present =
                rooms.stream().filter(room -> room.host().id().equals(hostId)).findFirst();
        if (present.isEmpty()) {
            return false;
        }
        List<HostRoom> others = rooms.stream()
                .filter(room -> room.pool().equals(present.get().pool())
                        && !room.host().id().equals(hostId))
                .toList();
        Optional<HostRoom> best = choice.choose(
                heldBack.step().id(), step, step.placementConstraints().dataRack(), others);
        if (best.isEmpty() || !isWorthwhile(step, present.get(), best.get())) {
            return false;
        }
        choice.take(heldBack.step().id(), step, best.get());
        return true;
    }

    private boolean isWorthwhile(StepSpecification step, HostRoom present, HostRoom best) {
        long addedHere = choice.effect(step, present).added();
        long addedThere = choice.effect(step, best).added();
        return !SharingGuard.isHarmless(addedHere) && addedThere * LEAST_GAIN_FACTOR <= addedHere;
    }
}
