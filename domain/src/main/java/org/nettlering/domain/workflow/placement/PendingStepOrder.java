package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.List;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.RemainingWork;
import org.nettlering.domain.workflow.ResultValue;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * The order in which pending steps are considered for starts while demand exceeds capacity.
 *
 * <ul>
 *   <li>Steps of long-running tasks come first, as each second without them counts.
 *   <li>Steps of jobs that can still finish within their allowed duration come second.
 *   <li>Steps of late jobs whose results still have value come third.
 *   <li>Steps of jobs whose results are of no use any more come last; they run when capacity is left.
 * </ul>
 *
 * <p>Within each class, the order is by priority, then by remaining work, least first, so that as many jobs as possible
 * finish in time, then by the end of the allowed duration. Immutable and thread-safe.
 */
final class PendingStepOrder {
    private final long nowMillis;

    private final RunTimeModel runTimes;

    PendingStepOrder(long nowMillis, RunTimeModel runTimes) {
        this.nowMillis = nowMillis;
        this.runTimes = runTimes;
    }

    /** A step with what decides on its place, which is computed once. */
    private record Rank(StepProgress step, int urgencyClass, int priority, long cpuMillis, long objectiveMillis)
            implements Comparable<Rank> {
        @Override
        public int compareTo(Rank other) {
            if (urgencyClass != other.urgencyClass) {
                return Integer.compare(urgencyClass, other.urgencyClass);
            }
            if (priority != other.priority) {
                return Integer.compare(priority, other.priority);
            }
            if (cpuMillis != other.cpuMillis) {
                return Long.compare(cpuMillis, other.cpuMillis);
            }
            return Long.compare(objectiveMillis, other.objectiveMillis);
        }
    }

    /** Returns the steps in the order in which they are considered; steps of equal rank keep theirs. */
    List<StepProgress> sorted(Collection<StepProgress> steps) {
        return steps.stream().map(this::rank).sorted().map(Rank::step).toList();
    }

    private Rank rank(StepProgress step) {
        Job job = step.job();
        RemainingWork remainingWork = step.remainingWorkOfOccurrence(runTimes);
        long releaseMillis = job.releaseMillis(step.id().occurrence());
        long allowedMillis = job.terms().allowedDurationMillis(remainingWork.wholePathMillis());
        return new Rank(
                step,
                urgencyClass(step, nowMillis - releaseMillis, allowedMillis, remainingWork),
                job.terms().queueTerms().priority(),
                remainingWork.cpuMillis(),
                releaseMillis + allowedMillis);
    }

    private static int urgencyClass(
            StepProgress step, long elapsedMillis, long allowedMillis, RemainingWork remainingWork) {
        if (step.specification().has(StepTrait.LONG_RUNNING)) {
            return 0;
        }
        if (ResultValue.isGone(elapsedMillis, allowedMillis)) {
            return 3;
        }
        return elapsedMillis + remainingWork.shortestPathMillis() > allowedMillis ? 2 : 1;
    }
}
