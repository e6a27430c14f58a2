package org.nettlering.benchmarks.placement.model;

/**
 * What goes wrong at random.
 *
 * @param lostPerMille messages that are lost
 * @param duplicatedPerMille messages that arrive twice
 * @param latePerMille messages that are held up, some for longer than a lease
 * @param crashesPerHour hosts that fail, of all workers
 * @param restartsPerHour processes that restart, of all workers
 * @param silencesPerHour workers that are cut off for longer than a lease, of all workers
 * @param failOversPerHour changes of the leader
 * @param cancelsPerHour cancellations of random jobs
 */
public record Faults(
        int lostPerMille,
        int duplicatedPerMille,
        int latePerMille,
        int crashesPerHour,
        int restartsPerHour,
        int silencesPerHour,
        int failOversPerHour,
        int cancelsPerHour) {
    /** Nothing goes wrong. */
    public static final Faults NONE = new Faults(0, 0, 0, 0, 0, 0, 0, 0);

    /** An ordinary day. */
    public static final Faults ORDINARY = new Faults(1, 1, 1, 2, 2, 1, 1, 30);

    /** Everything at once. */
    public static final Faults SEVERE = new Faults(50, 50, 30, 120, 120, 120, 60, 600);
}
