package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.colocation.ColocationController;

/**
 * Plans which throttled runs are stopped so that their tasks restart on other hosts.
 *
 * <p>A run that was placed before its interference was known stays throttled on its host, even if another host could
 * run it without harm. Such a run migrates if another host of the pool has capacity for it and it adds much less
 * latency pressure there. Migrations are planned after the starts of a plan were allocated, so that pending tasks take
 * precedence. Not thread-safe.
 */
final class MigrationPlanner {
    /** The limit for one plan, as each migration interrupts a task. */
    private static final int MAX_MIGRATIONS = 8;

    /** A run migrates only if it adds at most 1/factor of the pressure that it adds on its current host. */
    private static final int MIN_IMPROVEMENT_FACTOR = 2;

    /** Includes the pressure added by the starts of the same plan. */
    private final HostSelector selector;

    private final Map<String, FreeCapacity> capacitiesByHostId = new LinkedHashMap<>();

    MigrationPlanner(HostSelector selector, Collection<FreeCapacity> capacities) {
        this.selector = selector;
        capacities.forEach(capacity -> capacitiesByHostId.put(capacity.host().id(), capacity));
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
        FreeCapacity current = capacitiesByHostId.get(throttled.run().host().id());
        if (current == null
                || ColocationController.isNegligible(
                        selector.impactOf(step, current).added())) {
            return false;
        }
        List<FreeCapacity> others = capacitiesByHostId.values().stream()
                .filter(capacity -> capacity != current && capacity.pool().equals(current.pool()))
                .toList();
        Optional<FreeCapacity> best = selector.select(
                throttled.step().id(), step, step.placementConstraints().dataRack(), others);
        if (best.isEmpty() || !isWorthwhile(step, current, best.get())) {
            return false;
        }
        selector.allocate(throttled.step().id(), step, best.get());
        return true;
    }

    private boolean isWorthwhile(StepSpecification step, FreeCapacity current, FreeCapacity destination) {
        long addedAtSource = selector.impactOf(step, current).added();
        long addedAtDestination = selector.impactOf(step, destination).added();
        return addedAtDestination * MIN_IMPROVEMENT_FACTOR <= addedAtSource;
    }
}
