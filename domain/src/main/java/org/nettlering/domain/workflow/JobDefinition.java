package org.nettlering.domain.workflow;

import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The definition of a job as a caller submits it: the steps, and how often they run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param taskSpecification the work of the tasks, passed to the hosts unchanged, not null
 * @param steps the steps, at least one; each may depend on earlier steps only, not null
 * @param recurrence how often the steps run, not null
 */
public record JobDefinition(String taskSpecification, List<StepSpecification> steps, Recurrence recurrence) {
    private static final int MAX_STEPS = 1_000;

    /**
     * Validates the steps and copies their list.
     *
     * @throws NettleringException with {@code INVALID_ARGUMENT} if there are no steps or more than 1,000, or if a step
     *     depends on itself, on a later step or on a negative number
     */
    public JobDefinition {
        if (steps.isEmpty() || steps.size() > MAX_STEPS) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a job cannot have " + steps.size() + " steps");
        }
        for (int number = 0; number < steps.size(); number++) {
            for (int dependency : steps.get(number).dependsOn()) {
                if (dependency < 0 || dependency >= number) {
                    throw new NettleringException(
                            ErrorCode.INVALID_ARGUMENT,
                            "step " + number + " depends on step " + dependency
                                    + ", but steps may depend on earlier steps only");
                }
            }
        }
        steps = List.copyOf(steps);
    }

    /**
     * Returns the number of tasks of one occurrence.
     *
     * @return the sum over all steps, at least one
     */
    public long taskCount() {
        long sum = 0;
        for (StepSpecification step : steps) {
            sum += step.taskCount();
        }
        return sum;
    }

    /**
     * Returns the processors that the long-running tasks hold while they run.
     *
     * @return the sum in millicores, zero if there are no long-running tasks
     */
    public long longRunningMillicores() {
        long sum = 0;
        for (StepSpecification step : steps) {
            if (step.has(StepTrait.LONG_RUNNING)) {
                sum += step.taskCount() * step.allocation().millicores();
            }
        }
        return sum;
    }
}
