package org.nettlering.control.workflow;

/** What the leader's loop does while it holds the lock of the jobs. */
public enum LoopStage {
    /** Takes a request about a host or a job. */
    REQUEST,
    /** Takes what came of an order. */
    ANSWER,
    /** Collects the next batch to log: ends, or a plan of starts. */
    PLAN,
    /** Collects the orders that are due. */
    DUE_ORDERS,
    /** Takes note that a batch is in the log. */
    COMMITTED
}
