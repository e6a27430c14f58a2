package org.nettlering.benchmarks.leader;

import org.nettlering.control.workflow.LoopStage;

/** To what the processor time of a run is put down. */
enum Stage {
    /** A request for a new job. */
    SUBMISSION("submission"),
    /** A report of a host. */
    REPORT("report taken"),
    /** The answer to an order. */
    ANSWER("answer taken"),
    /** Collecting a batch: ends, or a plan of starts. */
    PLAN("plan"),
    /** Collecting the orders that are due. */
    DUE_ORDERS("due orders"),
    /** Changing the replicated jobs by a committed command. */
    APPLIED("commit applied"),
    /** Taking note of a committed batch. */
    COMMITTED("commit noted"),
    /** What the loop does beside these, without the lock. */
    LOOP("loop, no lock"),
    /** The model of hosts, log and callers, which is no part of the product. */
    MODEL("(model)");

    /** How the stage is printed. */
    private final String title;

    Stage(String title) {
        this.title = title;
    }

    String title() {
        return title;
    }

    static Stage of(LoopStage stage, Stage around) {
        return switch (stage) {
            case REQUEST -> around == SUBMISSION ? SUBMISSION : REPORT;
            case ANSWER -> ANSWER;
            case PLAN -> PLAN;
            case DUE_ORDERS -> DUE_ORDERS;
            case COMMITTED -> COMMITTED;
        };
    }
}
