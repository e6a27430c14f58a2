package org.nettlering.domain.workflow;

import java.util.List;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.task.Resources;

/**
 * The specification of one step of a job, which consists of identical tasks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param taskCount the number of tasks, from 1 to 100,000
 * @param demand the resources that one task needs, none of them negative, not null
 * @param estimatedRuntimeMillis a rough estimate of the runtime of a task, in milliseconds
 * @param dependsOn the numbers of the earlier steps that must be done before this one starts, not null
 * @param traits the traits of the tasks, not null
 * @param placementConstraints the constraints on the placement of the tasks, not null
 * @param serviceLevel the latency target and availability requirement of the tasks, not null
 */
public record StepSpecification(
        int taskCount,
        Resources demand,
        long estimatedRuntimeMillis,
        List<Integer> dependsOn,
        Set<StepTrait> traits,
        PlacementConstraints placementConstraints,
        StepServiceLevel serviceLevel) {
    private static final int MAX_TASKS = 100_000;

    /**
     * Validates the task count and the demand, and copies the collections.
     *
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the task count is out of range or the demand is
     *     negative
     */
    public StepSpecification {
        if (taskCount < 1 || taskCount > MAX_TASKS) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a step cannot have " + taskCount + " tasks");
        }
        if (demand.isNegative()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the demand of a step is negative: " + demand);
        }
        dependsOn = List.copyOf(dependsOn);
        traits = Set.copyOf(traits);
    }

    /**
     * Returns whether the step has a trait.
     *
     * @param trait the trait, not null
     * @return true if the step has the trait
     */
    public boolean has(StepTrait trait) {
        return traits.contains(trait);
    }

    /**
     * Returns the resources that are allocated to a task: its demand, without processors if the step is best-effort.
     *
     * @return the allocated resources, never null
     */
    public Resources allocation() {
        return has(StepTrait.BEST_EFFORT) ? Resources.of(0, demand.memoryMebibytes(), demand.accelerators()) : demand;
    }

    /**
     * Returns whether the tasks are latency-critical.
     *
     * @return true if the step has a latency target
     */
    public boolean isLatencyCritical() {
        return serviceLevel.latencyTargetMillis() > 0;
    }
}
