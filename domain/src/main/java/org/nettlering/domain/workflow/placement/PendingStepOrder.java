package org.nettlering.domain.workflow.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.workflow.Job;
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
 * finish in time, then by the end of the allowed duration. Not thread-safe.
 */
final class PendingStepOrder {
    /** The result of a job has no value after this multiple of its allowed duration. */
    private static final int NO_VALUE_FACTOR = 3;

    /** The share of its estimate that a job needs at least; estimates are often inaccurate. */
    private static final int MIN_ESTIMATE_PERCENT = 60;

    private final long nowMillis;

    private final Map<Job, RemainingWork> remainingWork = new HashMap<>();

    PendingStepOrder(long nowMillis) {
        this.nowMillis = nowMillis;
    }

    Comparator<StepProgress> comparator() {
        return Comparator.comparingInt(this::urgencyClass)
                .thenComparingInt(step -> step.job().terms().queueTerms().priority())
                .thenComparingLong(step -> remainingWork(step).cpuMillis())
                .thenComparingLong(step -> step.job().objectiveMillis(step.id().occurrence()));
    }

    private int urgencyClass(StepProgress step) {
        if (step.specification().has(StepTrait.LONG_RUNNING)) {
            return 0;
        }
        Job job = step.job();
        long elapsedMillis = nowMillis - job.releaseMillis(step.id().occurrence());
        if (elapsedMillis > NO_VALUE_FACTOR * job.allowedDurationMillis()) {
            return 3;
        }
        long minRemainingMillis = remainingWork(step).criticalPathMillis() * MIN_ESTIMATE_PERCENT / 100;
        return elapsedMillis + minRemainingMillis > job.allowedDurationMillis() ? 2 : 1;
    }

    private RemainingWork remainingWork(StepProgress step) {
        return remainingWork.computeIfAbsent(
                step.job(), job -> RemainingWork.of(job, step.id().occurrence()));
    }
}
