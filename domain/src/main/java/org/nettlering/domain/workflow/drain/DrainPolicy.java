package org.nettlering.domain.workflow.drain;

import java.time.Duration;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides which runs move away from a host that is to be emptied.
 *
 * <p>Long-running tasks move, because they never end by themselves. Runs that end in time stay, because moving them throws
 * work away. Of the others, only those move that resume from a checkpoint. Stateless and thread-safe.
 */
public final class DrainPolicy {
    /** The time that runs get to end in an evacuated failure domain, whose hosts do not tell when they leave. */
    public static final Duration EVACUATION_PATIENCE = Duration.ofSeconds(10);

    private static final int FULL_PERCENT = 100;

    private DrainPolicy() {}

    /**
     * Decides on one run.
     *
     * @param step the step of the run, not null
     * @param runTimeMillis the estimated run time of a task of the step, in milliseconds
     * @param progressPercent the progress of the run, 0 to 100
     * @param leftMillis how much longer the host is expected to run, in milliseconds
     * @return the decision, never null
     */
    public static DrainDecision decide(
            StepSpecification step, long runTimeMillis, int progressPercent, long leftMillis) {
        if (step.has(StepTrait.LONG_RUNNING)) {
            return DrainDecision.MOVES;
        }
        long remainingMillis = runTimeMillis * (FULL_PERCENT - progressPercent) / FULL_PERCENT;
        if (remainingMillis <= leftMillis) {
            return DrainDecision.ENDS_THERE;
        }
        // The end of one member would break its whole gang.
        boolean resumable = step.has(StepTrait.CHECKPOINTING) && !step.has(StepTrait.GANG);
        return resumable ? DrainDecision.MOVES : DrainDecision.STAYS;
    }

    /**
     * Returns whether one more task of a long-running step may become absent.
     *
     * @param step the step, not null
     * @param absentOthers how many other tasks of the step are not at work, for any reason
     * @param hostLeaves true if the host leaves and takes its runs with it in any case
     * @return true if the step may miss one more task
     */
    public static boolean mayMissOneMore(StepSpecification step, int absentOthers, boolean hostLeaves) {
        int specified = step.serviceLevel().maxUnavailable();
        int allowed = specified < 0 || (specified == 0 && hostLeaves) ? 1 : specified;
        return absentOthers < allowed;
    }
}
