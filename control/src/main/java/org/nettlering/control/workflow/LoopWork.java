package org.nettlering.control.workflow;

/**
 * How much a leadership has done: the measure of what an event costs that does not depend on the machine.
 *
 * <p>Not thread-safe: belongs to a {@link WorkflowLeadership}.
 */
final class LoopWork {
    /** How often a host was looked at for orders or ends that are due. */
    private long visits;

    /** How often the room of a host was measured. */
    private long rooms;

    LoopWork() {}

    long visits() {
        return visits;
    }

    long rooms() {
        return rooms;
    }

    void noteVisit() {
        visits++;
    }

    void noteRoom() {
        rooms++;
    }
}
