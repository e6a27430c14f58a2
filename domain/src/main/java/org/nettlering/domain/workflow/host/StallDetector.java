package org.nettlering.domain.workflow.host;

import java.time.Duration;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides which runs stand still and are better started elsewhere.
 *
 * <p>Answers hosts that look well and answer every look while what runs there makes no progress: its job would wait for it
 * for ever. A run that was slowed down on purpose, or that lasts, is left alone. Immutable and thread-safe.
 */
public final class StallDetector {
    /** How long a run may show no progress at all, in the percent that its host tells. */
    private static final Duration MIN_STALL_TIMEOUT = Duration.ofMillis(2_500);

    /** The share of its estimate that a run may show no progress, for runs so long that one percent takes a while. */
    private static final int ESTIMATE_DIVISOR = 5;

    /** Below this pace, in percent, no progress tells nothing. */
    private static final int MIN_SPEED_PERCENT = 50;

    private StallDetector() {}

    /**
     * Tells whether a run stands still.
     *
     * @param step the step of its task, not null
     * @param usage what the last look told of the run, not null
     * @param nowNanos the monotonic time
     * @return true if it should be stopped and started elsewhere
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
