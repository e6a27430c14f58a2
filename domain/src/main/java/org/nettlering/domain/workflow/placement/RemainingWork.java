package org.nettlering.domain.workflow.placement;

import java.util.List;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;

/**
 * The estimated remaining work of one occurrence of a job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cpuMillis the processor time of the unfinished tasks, in milliseconds of one processor
 * @param criticalPathMillis the duration of the longest dependency chain of unfinished steps, in milliseconds
 */
record RemainingWork(long cpuMillis, long criticalPathMillis) {
    private static final int MILLICORES_PER_CORE = 1_000;

    static RemainingWork of(Job job, int occurrence) {
        List<StepProgress> steps = job.steps().stream()
                .filter(step -> step.id().occurrence() == occurrence)
                .toList();
        long totalCpuMillis = 0;
        long longestPathMillis = 0;
        long[] finishMillis = new long[steps.size()];
        for (StepProgress step : steps) {
            StepSpecification specification = step.specification();
            long startMillis = 0;
            for (int dependency : specification.dependsOn()) {
                startMillis = Math.max(startMillis, finishMillis[dependency]);
            }
            boolean isUnfinished = step.unfinishedCount() > 0;
            int number = step.id().number();
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
