package org.nettlering.domain.workflow;

import java.util.List;
import org.nettlering.domain.workflow.runtime.RunTimeEstimate;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The estimated work of one occurrence of a job.
 *
 * <p>Immutable and thread-safe.
 *
 * @param cpuMillis the processor time of the unfinished tasks, in milliseconds of one processor
 * @param shortestPathMillis what the longest dependency chain of unfinished steps takes at least, in milliseconds
 * @param wholePathMillis the expected duration of the longest dependency chain of all steps, in milliseconds
 */
public record RemainingWork(long cpuMillis, long shortestPathMillis, long wholePathMillis) {
    private static final int MILLICORES_PER_CORE = 1_000;

    private static final RemainingWork NONE = new RemainingWork(0, 0, 0);

    /** Returns the remaining work of the steps of one occurrence, in their order. */
    static RemainingWork of(List<StepProgress> steps, RunTimeModel runTimes) {
        long totalCpuMillis = 0;
        long longestRemainingMillis = 0;
        long longestMillis = 0;
        long[] remainingMillis = new long[steps.size()];
        long[] wholeMillis = new long[steps.size()];
        for (int number = 0; number < wholeMillis.length; number++) {
            StepProgress step = steps.get(number);
            StepSpecification specification = step.specification();
            RunTimeEstimate runTime = step.estimateRunTime(runTimes);
            for (int dependency : specification.dependsOn()) {
                remainingMillis[number] = Math.max(remainingMillis[number], remainingMillis[dependency]);
                wholeMillis[number] = Math.max(wholeMillis[number], wholeMillis[dependency]);
            }
            boolean isUnfinished = step.unfinishedCount() > 0;
            remainingMillis[number] += isUnfinished ? runTime.shortestMillis() : 0;
            wholeMillis[number] += runTime.expectedMillis();
            longestRemainingMillis = Math.max(longestRemainingMillis, remainingMillis[number]);
            longestMillis = Math.max(longestMillis, wholeMillis[number]);
            totalCpuMillis += step.unfinishedCount()
                    * runTime.expectedMillis()
                    * specification.demand().millicores()
                    / MILLICORES_PER_CORE;
        }
        return new RemainingWork(totalCpuMillis, longestRemainingMillis, longestMillis);
    }

    /**
     * Returns the work of one occurrence of a job that is not accepted yet.
     *
     * @param submission the submission of the job, not null
     * @param runTimes estimates run times, not null
     * @return the work of all its steps, never null
     */
    public static RemainingWork ofNew(WorkflowCommand.SubmitJob submission, RunTimeModel runTimes) {
        return new Occurrence(new Job(submission), 0).remainingWork(runTimes);
    }

    /** Returns the remaining work of an occurrence that is unknown. */
    static RemainingWork none() {
        return NONE;
    }
}
