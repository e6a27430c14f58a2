package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.colocation.ColocationController;

/**
 * Plans which runs are stopped to go on elsewhere.
 *
 * <p>Answers runs that were placed before it was known what they disturb: they are held back for as long as they stay, while
 * other hosts would bear them. Such a run is moved if another host has room for it and its services would be strained by
 * much less. Used after the starts of a plan were taken off the rooms, so that work that waits comes first. Not
 * thread-safe.
 */
final class MigrationPlanner {
    /** The most moves of one plan: each stops work for a moment. */
    private static final int MAX_MIGRATIONS = 8;

    /** A move is worth it if it adds at most one part in this many of the strain that the run would add where it is. */
    private static final int MIN_IMPROVEMENT_FACTOR = 2;

    /** Chooses hosts; what the plan added before counts. */
    private final HostSelector selector;

    /** The rooms; moves are taken off. */
    private final Collection<FreeCapacity> capacities;

    MigrationPlanner(HostSelector selector, Collection<FreeCapacity> capacities) {
        this.selector = selector;
        this.capacities = capacities;
    }

    List<ActiveRun> plan(Collection<ThrottledRun> throttled) {
        List<ActiveRun> migrations = new ArrayList<>();
        for (ThrottledRun each : throttled) {
            if (migrations.size() < MAX_MIGRATIONS && planMigration(each)) {
                migrations.add(each.run());
            }
        }
        return migrations;
    }

    private boolean planMigration(ThrottledRun throttled) {
        StepSpecification step = throttled.step().specification();
        String hostId = throttled.run().host().id();
        Optional<FreeCapacity> current = capacities.stream()
                .filter(capacity -> capacity.host().id().equals(hostId))
                .findFirst();
        if (current.isEmpty()) {
            return false;
        }
        List<FreeCapacity> others = capacities.stream()
                .filter(capacity -> capacity.pool().equals(current.get().pool())
                        && !capacity.host().id().equals(hostId))
                .toList();
        Optional<FreeCapacity> best = selector.select(
                throttled.step().id(), step, step.placementConstraints().dataRack(), others);
        if (best.isEmpty() || !isWorthwhile(step, current.get(), best.get())) {
            return false;
        }
        selector.allocate(throttled.step().id(), step, best.get());
        return true;
    }

    private boolean isWorthwhile(StepSpecification step, FreeCapacity current, FreeCapacity best) {
        long addedAtSource = selector.impactOf(step, current).added();
        long addedAtDestination = selector.impactOf(step, best).added();
        return !ColocationController.isNegligible(addedAtSource)
                && addedAtDestination * MIN_IMPROVEMENT_FACTOR <= addedAtSource;
    }
}
