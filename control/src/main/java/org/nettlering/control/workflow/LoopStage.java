package org.nettlering.control.workflow;

/** The stages that the leader's loop executes under the lock of the state machine. */
public enum LoopStage {
    /** Handles a request about a host or a job. */
    REQUEST,
    /** Handles the response to a command. */
    ANSWER,
    /** Collects the next batch to propose to the log: terminations and planned starts. */
    PLAN,
    /** Collects the commands that are due. */
    DUE_ORDERS,
    /** Handles a batch that was committed or failed. */
    COMMITTED
}
