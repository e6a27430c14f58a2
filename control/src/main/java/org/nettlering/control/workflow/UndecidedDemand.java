package org.nettlering.control.workflow;

/**
 * What the jobs would add whose submission has no outcome yet.
 *
 * <p>Immutable and thread-safe.
 *
 * @param longRunningMillicores the processors that long-running tasks of a pool would need, in millicores
 * @param bytes the memory that the jobs of all pools take, in bytes
 */
record UndecidedDemand(long longRunningMillicores, long bytes) {
    /** No job is undecided. */
    static final UndecidedDemand NONE = new UndecidedDemand(0, 0);
}
