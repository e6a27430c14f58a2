package org.nettlering.domain.workflow.admission;

import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.RemainingWork;
import org.nettlering.domain.workflow.ResultValue;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The waiting work that starts before a new job.
 *
 * <p>Stateless and thread-safe.
 */
public final class WaitingWork {
    /** An occurrence, which may have several pending steps. */
    private record OccurrenceId(String jobId, int occurrence) {}

    private WaitingWork() {}

    /**
     * Returns the work in front of a job: that of the same pool and kind, of no lower priority and with no more remaining
     * work, as long as its result has value.
     *
     * @param pending the pending steps, not null
     * @param terms the terms of the job, not null
     * @param bestEffort whether the job is best-effort
     * @param cpuMillis the processor time of the job, in milliseconds of one processor
     * @param runTimes estimates run times, not null
     * @param nowMillis the time, in milliseconds since 1970
     * @return the processor time of the work, in milliseconds of one processor
     */
    public static long inFrontOf(
            Collection<StepProgress> pending,
            JobTerms terms,
            boolean bestEffort,
            long cpuMillis,
            RunTimeModel runTimes,
            long nowMillis) {
        Set<OccurrenceId> counted = new HashSet<>();
        long sum = 0;
        for (StepProgress step : pending) {
            boolean competes = step.job().terms().pool().equals(terms.pool())
                    && step.specification().has(StepTrait.BEST_EFFORT) == bestEffort
                    && !step.specification().has(StepTrait.LONG_RUNNING)
                    && step.job().terms().queueTerms().priority()
                            <= terms.queueTerms().priority();
            if (!competes
                    || !counted.add(
                            new OccurrenceId(step.id().jobId(), step.id().occurrence()))) {
                continue;
            }
            RemainingWork work = step.remainingWorkOfOccurrence(runTimes);
            if (work.cpuMillis() <= cpuMillis && hasValue(step, work, nowMillis)) {
                sum += work.cpuMillis();
            }
        }
        return sum;
    }

    private static boolean hasValue(StepProgress step, RemainingWork work, long nowMillis) {
        long elapsedMillis = nowMillis - step.job().releaseMillis(step.id().occurrence());
        long allowedMillis = step.job().terms().allowedDurationMillis(work.wholePathMillis());
        return !ResultValue.isGone(elapsedMillis, allowedMillis);
    }
}
