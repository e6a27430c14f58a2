package org.nettlering.domain.workflow.host;

import java.time.Duration;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides which best-effort runs to migrate because they are throttled in favour of latency-critical runs on their
 * host.
 *
 * <ul>
 *   <li>A run that loses little, because it saves checkpoints or has made little progress, is migrated after being
 *       throttled for a while. Shorter throttling is ignored, as it varies with the load of the latency-critical
 *       services.
 *   <li>Any other run is migrated only if it barely makes progress and is not nearly done.
 *   <li>Members of a gang are not migrated.
 * </ul>
 *
 * <p>Immutable and thread-safe.
 */
public final class ThrottledRunPolicy {
    /** Maximum speed at which a run that loses little is migrated. */
    private static final int THROTTLED_SPEED_PERCENT = 50;

    /** How long a run that loses little is throttled before it is migrated. */
    private static final Duration MIN_THROTTLED_TIME = Duration.ofMillis(900);

    /** Maximum progress that a run without checkpoints can lose at little cost. */
    private static final int LITTLE_PROGRESS_PERCENT = 10;

    /** Maximum speed at which a run that loses its progress is migrated: unthrottled elsewhere it soon catches up. */
    private static final int BARELY_RUNNING_SPEED_PERCENT = 25;

    /** How long a run barely makes progress before it is migrated although it loses its progress. */
    private static final Duration MIN_THROTTLED_TIME_WITHOUT_CHECKPOINT = Duration.ofSeconds(2);

    /** Maximum progress of a migrated run that loses it; beyond, finishing in place is better. */
    private static final int NEARLY_DONE_PROGRESS_PERCENT = 60;

    private ThrottledRunPolicy() {}

    /**
     * Returns whether a run should be migrated to another host.
     *
     * @param step the step of its task, not null
     * @param usage the usage of the run as of the last poll response, not null
     * @param nowNanos the monotonic time
     * @return true if the run is best-effort and not part of a gang, has been throttled for a while, and loses little
     *     or less than it gains by migrating
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
