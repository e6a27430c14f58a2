package org.nettlering.domain.workflow;

import java.util.List;

/**
 * The estimated remaining work of one occurrence of a job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cpuMillis the processor time of the unfinished tasks, in milliseconds of one processor
 * @param criticalPathMillis the duration of the longest dependency chain of unfinished steps, in milliseconds
 */
public record RemainingWork(long cpuMillis, long criticalPathMillis) {
    private static final int MILLICORES_PER_CORE = 1_000;

    /** Returns the remaining work of the steps of one occurrence, in their order. */
    static RemainingWork of(List<StepProgress> steps) {
        long totalCpuMillis = 0;
        long longestPathMillis = 0;
        long[] finishMillis = new long[steps.size()];
        for (int number = 0; number < finishMillis.length; number++) {
            StepProgress step = steps.get(number);
            StepSpecification specification = step.specification();
            long startMillis = 0;
            for (int dependency : specification.dependsOn()) {
                startMillis = Math.max(startMillis, finishMillis[dependency]);
            }
            boolean isUnfinished = step.unfinishedCount() > 0;
            finishMillis[number] = startMillis + (isUnfinished ? specification.estimatedRuntimeMillis() : 0);
            longestPathMillis = Math.max(longestPathMillis, finishMillis[number]);
            totalCpuMillis += step.unfinishedCount()
                    * specification.estimatedRuntimeMillis()
                    * specification.demand().millicores()
                    / MILLICORES_PER_CORE;
        }
        return new RemainingWork(totalCpuMillis, longestPathMillis);
    }
}
