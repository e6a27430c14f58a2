package org.nettlering.domain.workflow.placement;

import java.util.Collection;
import java.util.List;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.RemainingWork;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;

/**
 * The order in which pending steps are considered for starts while demand exceeds capacity.
 *
 * <ul>
 *   <li>Steps of long-running tasks come first, as each second without them counts.
 *   <li>Steps of jobs that can still finish within their allowed duration come second.
 *   <li>Steps of late jobs whose results still have value come third.
 *   <li>Steps of jobs past three times their allowed duration come last; they run when capacity is left.
 * </ul>
 *
 * <p>Within each class, the order is by priority, then by remaining work, least first, so that as many jobs as possible
 * finish in time, then by the end of the allowed duration. Immutable and thread-safe.
 */
final class PendingStepOrder {
    /** The result of a job has no value after this multiple of its allowed duration. */
    private static final int NO_VALUE_FACTOR = 3;

    /** The share of its estimate that a job needs at least; estimates are often inaccurate. */
    private static final int MIN_ESTIMATE_PERCENT = 60;

    private final long nowMillis;

    PendingStepOrder(long nowMillis) {
        this.nowMillis = nowMillis;
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
        RemainingWork remainingWork = step.remainingWorkOfOccurrence();
        return new Rank(
                step,
                urgencyClass(step, remainingWork),
                job.terms().queueTerms().priority(),
                remainingWork.cpuMillis(),
                job.objectiveMillis(step.id().occurrence()));
    }

    private int urgencyClass(StepProgress step, RemainingWork remainingWork) {
        if (step.specification().has(StepTrait.LONG_RUNNING)) {
            return 0;
        }
        Job job = step.job();
        long elapsedMillis = nowMillis - job.releaseMillis(step.id().occurrence());
        if (elapsedMillis > NO_VALUE_FACTOR * job.allowedDurationMillis()) {
            return 3;
        }
        long minRemainingMillis = remainingWork.criticalPathMillis() * MIN_ESTIMATE_PERCENT / 100;
        return elapsedMillis + minRemainingMillis > job.allowedDurationMillis() ? 2 : 1;
    }
}
