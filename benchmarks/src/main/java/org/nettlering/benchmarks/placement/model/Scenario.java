package org.nettlering.benchmarks.placement.model;

import java.util.function.Supplier;
import org.nettlering.domain.placement.Planner;

/**
 * One seeded run of the model.
 *
 * @param seed the seed of everything random
 * @param workers how many workers there are
 * @param workersPerRack how many sit in one rack
 * @param failureDomains how many failure domains there are
 * @param horizonMillis how much virtual time passes
 * @param faults what goes wrong at random, not null
 * @param checked whether the invariants are checked after every step
 * @param loadFactor how many jobs are submitted, against the catalog
 * @param planners makes a planner for each leadership, not null
 */
public record Scenario(
        long seed,
        int workers,
        int workersPerRack,
        int failureDomains,
        long horizonMillis,
        Faults faults,
        boolean checked,
        double loadFactor,
        Supplier<Planner> planners) {

    /** Returns an hour at Ljubljana. */
    public static Scenario ljubljana(long seed, Supplier<Planner> planners) {
        return new Scenario(seed, 30, 6, 4, 3_600_000, Faults.ORDINARY, false, 0.6, planners);
    }

    /** Returns an hour at Ankara. */
    public static Scenario ankara(long seed, Supplier<Planner> planners) {
        return new Scenario(seed, 45, 11, 3, 3_600_000, Faults.ORDINARY, false, 0.6, planners);
    }

    /** Returns ten minutes on a few workers where everything goes wrong, with the invariants checked. */
    public static Scenario severe(long seed, Supplier<Planner> planners) {
        return new Scenario(seed, 6, 2, 3, 600_000, Faults.SEVERE, true, 1, planners);
    }
}
