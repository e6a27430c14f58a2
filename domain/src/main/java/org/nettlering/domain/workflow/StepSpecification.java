package org.nettlering.domain.workflow;

import java.util.List;
import java.util.Set;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.task.Resources;

/**
 * One step of a job: a number of tasks that are alike.
 *
 * <p>Immutable and thread-safe.
 *
 * @param taskCount how many tasks the step has, positive
 * @param demand what one task takes of its host, not null
 * @param estimatedRuntimeMillis a rough estimate of how long a task runs, in milliseconds
 * @param dependsOn the numbers of earlier steps whose tasks must all be done first, not null
 * @param traits what is special about the tasks, not null
 * @param placementConstraints where the tasks may or should run, not null
 * @param serviceLevel how the tasks bear the others on their host, not null
 */
public record StepSpecification(
        int taskCount,
        Resources demand,
        long estimatedRuntimeMillis,
        List<Integer> dependsOn,
        Set<StepTrait> traits,
        PlacementConstraints placementConstraints,
        StepServiceLevel serviceLevel) {
    /** The most tasks that one step may have. */
    private static final int MAX_TASKS = 100_000;

    /**
     * Checks and copies the parts.
     *
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the count is not positive or a demand is negative
     */
    public StepSpecification {
        if (taskCount < 1 || taskCount > MAX_TASKS) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a step has " + taskCount + " tasks");
        }
        if (demand.isNegative()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a step demands " + demand);
        }
        dependsOn = List.copyOf(dependsOn);
        traits = Set.copyOf(traits);
    }

    /**
     * Tells whether the step has a trait.
     *
     * @param trait the trait, not null
     * @return true if it has
     */
    public boolean has(StepTrait trait) {
        return traits.contains(trait);
    }

    /**
     * Returns what a task commits of its host: its demand, without processors if it only fills.
     *
     * @return the committed amount, never null
     */
    public Resources allocation() {
        return has(StepTrait.BEST_EFFORT) ? Resources.of(0, demand.memoryMebibytes(), demand.accelerators()) : demand;
    }

    /**
     * Tells whether the tasks serve users of their own within a target.
     *
     * @return true if the step has a target for its response times
     */
    public boolean isLatencyCritical() {
        return serviceLevel.latencyTargetMillis() > 0;
    }
}
