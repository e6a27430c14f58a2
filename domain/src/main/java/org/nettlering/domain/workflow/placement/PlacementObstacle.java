package org.nettlering.domain.workflow.placement;

import java.util.Optional;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/** Why a task of a step is not placed on a host that accepts runs. The constant names appear in logs. */
public enum PlacementObstacle {
    /** The host lacks the label that the step requires. */
    LABEL,
    /** As many tasks of the step are on the host as may be. */
    TASKS_PER_HOST,
    /** The free capacity does not suffice, as best-effort runs use the processors that are allocated to none. */
    CAPACITY,
    /** The latency-critical runs on the host would be disturbed. */
    INTERFERENCE;

    /**
     * Returns why a task of a step is not placed on a host.
     *
     * @param stepId the id of the step, not null
     * @param step the specification of the step, not null
     * @param heartbeat the latest heartbeat of the host, not null
     * @param allocations the allocations on the host, not null
     * @param capacity the free capacity of the host, which no plan uses, not null
     * @param colocation provides the learned interference between images, not null
     * @return the first obstacle, or empty if there is none, never null
     */
    public static Optional<PlacementObstacle> of(
            StepId stepId,
            StepSpecification step,
            HostHeartbeat heartbeat,
            HostAllocations allocations,
            FreeCapacity capacity,
            ColocationController colocation) {
        if (!heartbeat.hasLabel(step.placementConstraints().requiredLabel())) {
            return Optional.of(LABEL);
        }
        int maxTasksPerHost = step.placementConstraints().maxTasksPerHost();
        if (maxTasksPerHost != 0 && allocations.countOf(stepId) >= maxTasksPerHost) {
            return Optional.of(TASKS_PER_HOST);
        }
        if (!capacity.fits(stepId, step)) {
            return Optional.of(CAPACITY);
        }
        boolean feasible = new HostSelector(colocation).isFeasible(stepId, step, capacity);
        return feasible ? Optional.empty() : Optional.of(INTERFERENCE);
    }

    /**
     * Returns how many tasks of a step the free capacity of a host holds. The processors of best-effort tasks don't count, as none
     * are allocated to them.
     *
     * @param step the specification of the step, not null
     * @param capacity the free capacity of the host, not null
     * @return the number of tasks, regardless of labels, of other limits and of interference
     */
    public static long tasksThatFit(StepSpecification step, FreeCapacity capacity) {
        Resources free = capacity.free();
        Resources required = step.allocation();
        long tasks = Math.min(
                tasksThatFit(required.millicores(), free.millicores()),
                tasksThatFit(required.memoryMebibytes(), free.memoryMebibytes()));
        return Math.min(tasks, tasksThatFit(required.accelerators(), free.accelerators()));
    }

    private static long tasksThatFit(long demand, long free) {
        return demand == 0 ? Integer.MAX_VALUE : Math.max(0, free / demand);
    }
}
