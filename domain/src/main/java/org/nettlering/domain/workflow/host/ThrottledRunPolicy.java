package org.nettlering.domain.workflow.host;

import java.time.Duration;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides which runs are held back for so long that they are better moved.
 *
 * <p>Answers runs that fill and were slowed down for the sake of what serves beside them. A run that was slowed down
 * only just now is left where it is, as the load of a service swings, and the pace with it; one whose work is not saved is
 * moved only while it hardly gets on and has not done most of it.
 * Immutable and thread-safe.
 */
public final class ThrottledRunPolicy {
    /** Up to this pace, in percent, a run is held back. */
    private static final int THROTTLED_SPEED_PERCENT = 50;

    /** How long a run is held back before it is moved. */
    private static final Duration MIN_THROTTLED_TIME = Duration.ofMillis(900);

    /** Up to this percent of its work a run loses little even if nothing of it is saved. */
    private static final int LITTLE_PROGRESS_PERCENT = 10;

    /** Up to this pace, in percent, a run hardly gets on: what it has done so far it would do elsewhere in no time. */
    private static final int BARELY_RUNNING_SPEED_PERCENT = 25;

    /** How long a run hardly gets on before it is moved even though it loses what it has done. */
    private static final Duration MIN_THROTTLED_TIME_WITHOUT_CHECKPOINT = Duration.ofSeconds(2);

    /** Beyond this percent of its work a run is nearly done and stays, if nothing of it is saved. */
    private static final int NEARLY_DONE_PROGRESS_PERCENT = 60;

    private ThrottledRunPolicy() {}

    /**
     * Tells whether a run is better moved.
     *
     * @param step the step of its task, not null
     * @param usage what the last look told of the run, not null
     * @param nowNanos the monotonic time
     * @return true if it fills, has been slow for a while, and would lose little or less than it gains
     */
    public static boolean shouldMigrate(StepSpecification step, RunUsage usage, long nowNanos) {
        if (!step.has(StepTrait.BEST_EFFORT) || step.has(StepTrait.GANG)) {
            return false;
        }
        long throttledNanos = nowNanos - usage.throttledSinceNanos();
        boolean losesLittle = step.has(StepTrait.CHECKPOINTING) || usage.progressPercent() <= LITTLE_PROGRESS_PERCENT;
        if (losesLittle) {
            return usage.speedPercent() <= THROTTLED_SPEED_PERCENT && throttledNanos > MIN_THROTTLED_TIME.toNanos();
        }
        return usage.speedPercent() <= BARELY_RUNNING_SPEED_PERCENT
                && usage.progressPercent() <= NEARLY_DONE_PROGRESS_PERCENT
                && throttledNanos > MIN_THROTTLED_TIME_WITHOUT_CHECKPOINT.toNanos();
    }
}
