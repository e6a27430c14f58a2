package org.nettlering.domain.workflow.host;

import java.time.Duration;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides which runs are held back for so long that they are better moved.
 *
 * <p>Answers runs that fill and were slowed down for the sake of what serves beside them. A run that would lose its work is
 * left where it is, and so is one that was slowed down only just now: the load of a service swings, and the pace with it.
 * Immutable and thread-safe.
 */
public final class HoldBackRule {
    /** Up to this pace, in percent, a run is held back. */
    private static final int HELD_BACK_PERCENT = 50;

    /** How long a run is held back before it is moved. */
    private static final Duration LEAST_TIME = Duration.ofMillis(900);

    /** Up to this percent of its work a run loses little even if nothing of it is saved. */
    private static final int LITTLE_WORK_PERCENT = 10;

    private HoldBackRule() {}

    /**
     * Tells whether a run is better moved.
     *
     * @param step the step of its task, not null
     * @param load what the last look told of the run, not null
     * @param nowNanos the monotonic time
     * @return true if it fills, has been slow for a while and would lose little
     */
    public static boolean isHeldBack(StepSpecification step, RunLoad load, long nowNanos) {
        boolean losesLittle = step.has(StepTrait.CHECKPOINTING) || load.percent() <= LITTLE_WORK_PERCENT;
        return step.has(StepTrait.FILLS)
                && !step.has(StepTrait.GANG)
                && losesLittle
                && load.pacePercent() <= HELD_BACK_PERCENT
                && nowNanos - load.slowSinceNanos() > LEAST_TIME.toNanos();
    }
}
