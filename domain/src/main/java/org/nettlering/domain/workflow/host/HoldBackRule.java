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
public final class HoldBackRule {
    /** Up to this pace, in percent, a run is held back. */
    private static final int HELD_BACK_PERCENT = 50;

    /** How long a run is held back before it is moved. */
    private static final Duration LEAST_TIME = Duration.ofMillis(900);

    /** Up to this percent of its work a run loses little even if nothing of it is saved. */
    private static final int LITTLE_WORK_PERCENT = 10;

    /** Up to this pace, in percent, a run hardly gets on: what it has done so far it would do elsewhere in no time. */
    private static final int HARDLY_ANY_PERCENT = 25;

    /** How long a run hardly gets on before it is moved even though it loses what it has done. */
    private static final Duration LEAST_TIME_UNSAVED = Duration.ofSeconds(2);

    /** Beyond this percent of its work a run is nearly done and stays, if nothing of it is saved. */
    private static final int NEARLY_DONE_PERCENT = 60;

    private HoldBackRule() {}

    /**
     * Tells whether a run is better moved.
     *
     * @param step the step of its task, not null
     * @param load what the last look told of the run, not null
     * @param nowNanos the monotonic time
     * @return true if it fills, has been slow for a while, and would lose little or less than it gains
     */
    public static boolean isHeldBack(StepSpecification step, RunLoad load, long nowNanos) {
        if (!step.has(StepTrait.FILLS) || step.has(StepTrait.GANG)) {
            return false;
        }
        long slowNanos = nowNanos - load.slowSinceNanos();
        boolean losesLittle = step.has(StepTrait.CHECKPOINTING) || load.percent() <= LITTLE_WORK_PERCENT;
        if (losesLittle) {
            return load.pacePercent() <= HELD_BACK_PERCENT && slowNanos > LEAST_TIME.toNanos();
        }
        return load.pacePercent() <= HARDLY_ANY_PERCENT
                && load.percent() <= NEARLY_DONE_PERCENT
                && slowNanos > LEAST_TIME_UNSAVED.toNanos();
    }
}
