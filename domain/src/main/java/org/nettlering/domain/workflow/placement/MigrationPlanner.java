package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
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

    /** The free capacities of each pool, without what the starts of the same plan use. */
    private final Function<String, PoolCapacities> pools;

    private final Map<String, FreeCapacity> capacitiesByHostId = new HashMap<>();

    MigrationPlanner(
            HostSelector selector, Collection<FreeCapacity> capacities, Function<String, PoolCapacities> pools) {
        this.selector = selector;
        this.pools = pools;
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
        if (current == null) {
            return false;
        }
        long addedAtSource = selector.impactOf(step, current).added();
        if (ColocationController.isNegligible(addedAtSource)) {
            return false;
        }
        HostRanking ranking = HostRanking.withoutHost(
                current.host(),
                selector,
                throttled.step().id(),
                step,
                step.placementConstraints().dataRack(),
                pools.apply(current.pool()));
        Optional<FreeCapacity> best = ranking.best();
        if (best.isEmpty() || selector.impactOf(step, best.get()).added() * MIN_IMPROVEMENT_FACTOR > addedAtSource) {
            return false;
        }
        return ranking.allocateBest().isPresent();
    }
}
