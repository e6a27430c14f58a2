package org.nettlering.domain.workflow.placement;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;

/**
 * The order in which steps with tasks to start are served.
 *
 * <p>Answers a load that outgrows the room for a while: tasks that last come first, as each second without them counts;
 * then, by priority, what can still end in time, the job with the least work left first, so that as many as possible do;
 * then what is late but still worth something; last, what is past three times its allowance, which is finished when there
 * is room. Not thread-safe.
 */
final class PendingStepOrder {
    /** A job that takes more than this many times what it is allowed is worth nothing more. */
    private static final int NO_VALUE_FACTOR = 3;

    /** The part of the estimates that the rest of a job is taken to need at least, in percent: they are often far off. */
    private static final int MIN_ESTIMATE_PERCENT = 60;

    /** The time, in milliseconds since 1970. */
    private final long nowMillis;

    /** The work that each job has left. */
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
