package org.nettlering.control.workflow;

/**
 * Counts the work done by one leadership, as a measure of the cost of events that does not depend on the machine.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class LoopCounters {
    /** The number of times a host was checked for due commands or terminations. */
    private long hostVisits;

    /** The number of times the free capacity of a host was computed. */
    private long capacityComputations;

    LoopCounters() {}

    long hostVisits() {
        return hostVisits;
    }

    long capacityComputations() {
        return capacityComputations;
    }

    void countHostVisit() {
        hostVisits++;
    }

    void countCapacityComputation() {
        capacityComputations++;
    }
}
