package org.nettlering.control.workflow;

/**
 * Receives the start and the end of each stage that the leader's loop executes under the lock of the state machine.
 *
 * <p>Called under that lock, always in pairs; implementations do not block and never throw.
 */
public interface LoopTimer {
    /** Ignores all calls. */
    LoopTimer NONE = new LoopTimer() {
        @Override
        public void stageStarted(LoopStage stage) {}

        @Override
        public void stageEnded(LoopStage stage) {}
    };

    /**
     * Called when a stage starts.
     *
     * @param stage the stage, not null
     */
    void stageStarted(LoopStage stage);

    /**
     * Called when a stage ends.
     *
     * @param stage the stage that started last, not null
     */
    void stageEnded(LoopStage stage);
}
