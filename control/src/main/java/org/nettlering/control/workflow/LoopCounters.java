package org.nettlering.control.workflow;

/**
 * How much a leadership has done: the measure of what an event costs that does not depend on the machine.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class LoopCounters {
    /** How often a host was looked at for orders or ends that are due. */
    private long hostVisits;

    /** How often the room of a host was measured. */
    private long capacityComputations;

    /** How often a job was looked at to decide on another one. */
    private long jobsExamined;

    LoopCounters() {}

    long hostVisits() {
        return hostVisits;
    }

    long capacityComputations() {
        return capacityComputations;
    }

    long jobsExamined() {
        return jobsExamined;
    }

    void countJobExamined() {
        jobsExamined++;
    }

    void countHostVisit() {
        hostVisits++;
    }

    void countCapacityComputation() {
        capacityComputations++;
    }
}
