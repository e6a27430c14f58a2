package org.nettlering.domain.workflow.placement;

import java.util.List;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;

/**
 * What an occurrence of a job has left to do, by the estimates.
 *
 * <p>Immutable and thread-safe.
 *
 * @param coreMillis the work of the tasks that are not done, in milliseconds of a processor
 * @param chainMillis the longest chain of steps that are not done, in milliseconds
 */
record RemainingWork(long coreMillis, long chainMillis) {
    private static final int MILLICORES = 1_000;

    static RemainingWork of(Job job, int occurrence) {
        List<StepProgress> steps = job.steps().stream()
                .filter(step -> step.id().occurrence() == occurrence)
                .toList();
        long work = 0;
        long longest = 0;
        long[] ends = new long[steps.size()];
        for (StepProgress step : steps) {
            StepSpecification specification = step.specification();
            long begin = 0;
            for (int dependency : specification.dependsOn()) {
                begin = Math.max(begin, ends[dependency]);
            }
            boolean open = step.unfinishedCount() > 0;
            int number = step.id().number();
            ends[number] = begin + (open ? specification.estimatedRuntimeMillis() : 0);
            longest = Math.max(longest, ends[number]);
            work += step.unfinishedCount()
                    * specification.estimatedRuntimeMillis()
                    * specification.demand().millicores()
                    / MILLICORES;
        }
        return new RemainingWork(work, longest);
    }
}
