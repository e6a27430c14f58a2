package org.nettlering.domain.workflow.host;

import java.time.Duration;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Detects runs that make no progress and should be restarted on another host.
 *
 * <p>Guards against hosts that appear healthy and respond to every poll while their runs make no progress, so that the
 * job would never finish. Runs throttled to less than half speed, long-running runs and members of
 * a gang never count as stalled. Immutable and thread-safe.
 */
public final class StallDetector {
    /** How long the reported progress may stay the same, at least. */
    private static final Duration MIN_STALL_TIMEOUT = Duration.ofMillis(2_500);

    /** Progress may stay the same for the estimated runtime divided by this; one percent of a long run takes a while. */
    private static final int ESTIMATE_DIVISOR = 5;

    /** Below this speed, throttling explains a lack of progress. */
    private static final int MIN_SPEED_PERCENT = 50;

    private StallDetector() {}

    /**
     * Returns whether a run makes no progress.
     *
     * @param step the step of its task, not null
     * @param usage the usage of the run as of the last poll response, not null
     * @param nowNanos the monotonic time
     * @return true if the run should be stopped and restarted on another host
     */
    public static boolean isStalled(StepSpecification step, RunUsage usage, long nowNanos) {
        if (step.has(StepTrait.LONG_RUNNING) || step.has(StepTrait.GANG) || usage.speedPercent() < MIN_SPEED_PERCENT) {
            return false;
        }
        Duration estimateTimeout = Duration.ofMillis(step.estimatedRuntimeMillis() / ESTIMATE_DIVISOR);
        Duration stallTimeout = estimateTimeout.compareTo(MIN_STALL_TIMEOUT) > 0 ? estimateTimeout : MIN_STALL_TIMEOUT;
        return nowNanos - usage.lastProgressNanos() > stallTimeout.toNanos();
    }
}
