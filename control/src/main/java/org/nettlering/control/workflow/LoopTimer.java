package org.nettlering.control.workflow;

/**
 * Hears when the leader's loop begins and ends what it does under the lock of the jobs.
 *
 * <p>Called under that lock, always in pairs; implementations do not block and never fail.
 */
public interface LoopTimer {
    /** Hears nothing. */
    LoopTimer NONE = new LoopTimer() {
        @Override
        public void stageStarted(LoopStage stage) {}

        @Override
        public void stageEnded(LoopStage stage) {}
    };

    /**
     * Notes that a stage begins.
     *
     * @param stage the stage, not null
     */
    void stageStarted(LoopStage stage);

    /**
     * Notes that a stage ends.
     *
     * @param stage the stage that began last, not null
     */
    void stageEnded(LoopStage stage);
}
