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
public final class StallRule {
    /** How long a run may show no progress at all, in the percent that its host tells. */
    private static final Duration LONGEST_STANDSTILL = Duration.ofMillis(2_500);

    /** The share of its estimate that a run may show no progress, for runs so long that one percent takes a while. */
    private static final int ESTIMATE_DIVISOR = 5;

    /** Below this pace, in percent, no progress tells nothing. */
    private static final int LEAST_PACE_PERCENT = 50;

    private StallRule() {}

    /**
     * Tells whether a run stands still.
     *
     * @param step the step of its task, not null
     * @param load what the last look told of the run, not null
     * @param nowNanos the monotonic time
     * @return true if it should be stopped and started elsewhere
     */
    public static boolean isStalled(StepSpecification step, RunLoad load, long nowNanos) {
        if (step.has(StepTrait.LONG_RUNNING) || step.has(StepTrait.GANG) || load.pacePercent() < LEAST_PACE_PERCENT) {
            return false;
        }
        Duration ofEstimate = Duration.ofMillis(step.estimatedRuntimeMillis() / ESTIMATE_DIVISOR);
        Duration allowed = ofEstimate.compareTo(LONGEST_STANDSTILL) > 0 ? ofEstimate : LONGEST_STANDSTILL;
        return nowNanos - load.progressNanos() > allowed.toNanos();
    }
}
