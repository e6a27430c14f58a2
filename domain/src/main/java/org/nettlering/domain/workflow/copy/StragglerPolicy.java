package org.nettlering.domain.workflow.copy;

import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

/**
 * Decides whether a run is far behind its siblings and whether a copy of it would help its job.
 *
 * <p>Stateless and thread-safe.
 */
public final class StragglerPolicy {
    /** The number of siblings that must have ended. */
    private static final int MIN_SIBLINGS = 2;

    /** A run straggles once it has taken this share of its siblings' mean, in percent. */
    private static final int MIN_ELAPSED_PERCENT = 150;

    /** What a fresh start takes, in percent of the siblings' mean: its start costs time, too. */
    private static final int FRESH_START_PERCENT = 120;

    /** A step is waited for once at most one of so many of its tasks is unfinished. */
    private static final int UNFINISHED_DIVISOR = 4;

    private static final int FULL_PERCENT = 100;

    private StragglerPolicy() {}

    /**
     * Returns whether the tasks of a step may be copied at all.
     *
     * @param step the step, not null
     * @return true if the step allows copies and its tasks end one by one
     */
    public static boolean allowsCopies(StepSpecification step) {
        return step.has(StepTrait.SPECULATIVE) && !step.has(StepTrait.GANG) && !step.has(StepTrait.LONG_RUNNING);
    }

    /**
     * Returns whether a run is so far behind that a copy which starts now is likely to end before it.
     *
     * @param siblings how many tasks of the step have ended
     * @param siblingMillis the mean run time of these tasks, in milliseconds
     * @param elapsedMillis how long the run has been at work, in milliseconds
     * @param progressPercent the progress of the run, 0 to 100
     * @return true if the run straggles
     */
    public static boolean isStraggling(int siblings, long siblingMillis, long elapsedMillis, int progressPercent) {
        if (siblings < MIN_SIBLINGS || elapsedMillis * FULL_PERCENT < siblingMillis * MIN_ELAPSED_PERCENT) {
            return false;
        }
        if (progressPercent == 0) {
            return true;
        }
        long remainingMillis = elapsedMillis * (FULL_PERCENT - progressPercent) / progressPercent;
        return remainingMillis * FULL_PERCENT > siblingMillis * FRESH_START_PERCENT;
    }

    /**
     * Returns whether the job waits for the last tasks of a step.
     *
     * @param step the step, not null
     * @return true if no task waits for a run and at most a quarter of the tasks, at least one, is unfinished
     */
    public static boolean isWaitedFor(StepProgress step) {
        int allowed = Math.max(1, step.specification().taskCount() / UNFINISHED_DIVISOR);
        return step.pendingCount() == 0 && step.unfinishedCount() <= allowed;
    }
}
