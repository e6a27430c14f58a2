package org.nettlering.domain.workflow;

import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * What a caller submits: the steps of a job and how often they run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param taskSpecification what the tasks are to do, handed to the hosts unchanged, not null
 * @param steps the steps, at least one; each depends on earlier ones only, not null
 * @param recurrence how often the steps run, not null
 */
public record JobDefinition(String taskSpecification, List<StepSpecification> steps, Recurrence recurrence) {
    /** The most steps that one job may have. */
    private static final int MAX_STEPS = 1_000;

    /**
     * Checks and copies the parts.
     *
     * @throws NettleringException with {@code INVALID_ARGUMENT} if there are no steps, or a step depends on itself or on a
     *     later one
     */
    public JobDefinition {
        if (steps.isEmpty() || steps.size() > MAX_STEPS) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a job has " + steps.size() + " steps");
        }
        for (int number = 0; number < steps.size(); number++) {
            for (int dependency : steps.get(number).dependsOn()) {
                if (dependency < 0 || dependency >= number) {
                    throw new NettleringException(
                            ErrorCode.INVALID_ARGUMENT,
                            "step " + number + " depends on step " + dependency + ", which is not an earlier one");
                }
            }
        }
        steps = List.copyOf(steps);
    }

    /**
     * Returns the longest chain of steps that follow each other, by their estimates.
     *
     * @return the time that the job takes with unlimited room, in milliseconds
     */
    public long criticalPathMillis() {
        long longest = 0;
        long[] finishMillis = new long[steps.size()];
        for (int number = 0; number < finishMillis.length; number++) {
            long startMillis = 0;
            for (int dependency : steps.get(number).dependsOn()) {
                startMillis = Math.max(startMillis, finishMillis[dependency]);
            }
            finishMillis[number] = startMillis + steps.get(number).estimatedRuntimeMillis();
            longest = Math.max(longest, finishMillis[number]);
        }
        return longest;
    }
}
