package org.nettlering.control.workflow;

/**
 * Hears when the leader's loop begins and ends what it does under the lock of the jobs.
 *
 * <p>Called under that lock, always in pairs; implementations do not block and never fail.
 */
public interface LoopMeter {
    /** Hears nothing. */
    LoopMeter NONE = new LoopMeter() {
        @Override
        public void begin(LoopStage stage) {}

        @Override
        public void end(LoopStage stage) {}
    };

    /**
     * Notes that a stage begins.
     *
     * @param stage the stage, not null
     */
    void begin(LoopStage stage);

    /**
     * Notes that a stage ends.
     *
     * @param stage the stage that began last, not null
     */
    void end(LoopStage stage);
}
