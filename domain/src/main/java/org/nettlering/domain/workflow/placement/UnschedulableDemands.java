package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Function;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * The demands for which no host of a pool was feasible in a plan, so that steps that require at least as much need not be
 * tried.
 *
 * <p>Holds within one plan, in which free capacity only shrinks, and for steps of all kinds: a step without placement
 * constraints that found no host shows that one with constraints does not find one either. Not thread-safe.
 */
final class UnschedulableDemands {
    /** The smallest such demands; none of the same group fits in another one. */
    private final Map<Group, List<Resources>> demands = new HashMap<>();

    /** What a task of a step requires of a host. */
    private final Function<StepSpecification, Resources> requirement;

    /** Compares steps by all that their tasks ask for. */
    UnschedulableDemands() {
        this(StepSpecification::demand);
    }

    /** Compares steps by what is allocated to their tasks. */
    static UnschedulableDemands ofAllocations() {
        return new UnschedulableDemands(StepSpecification::allocation);
    }

    private UnschedulableDemands(Function<StepSpecification, Resources> requirement) {
        this.requirement = requirement;
    }

    /**
     * Steps for which the same hosts are feasible if their demand is the same.
     *
     * @param pool the name of the pool
     * @param bestEffort whether the steps are best-effort
     * @param image the image of best-effort steps, whose latency pressure depends on it; empty for others
     */
    private record Group(String pool, boolean bestEffort, String image) {
        static Group of(String pool, StepSpecification step) {
            boolean bestEffort = step.has(StepTrait.BEST_EFFORT);
            return new Group(pool, bestEffort, bestEffort ? step.serviceLevel().image() : "");
        }
    }

    /** Returns whether a step requires at least as much as another one that found no host. */
    boolean includes(String pool, StepSpecification step) {
        if (demands.isEmpty()) {
            return false;
        }
        for (Resources demand : demands.getOrDefault(Group.of(pool, step), List.of())) {
            if (demand.fitsIn(requirement.apply(step))) {
                return true;
            }
        }
        return false;
    }

    /** Records a step that found no host, unless its placement constraints may be the reason. */
    void add(String pool, StepSpecification step) {
        if (!step.placementConstraints().equals(PlacementConstraints.NONE)) {
            return;
        }
        List<Resources> smallest = demands.computeIfAbsent(Group.of(pool, step), group -> new ArrayList<>());
        Resources required = requirement.apply(step);
        smallest.removeIf(required::fitsIn);
        smallest.add(required);
    }
}
