package org.nettlering.domain.workflow;

/**
 * Where the tasks of a step may or should run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataRack the rack that holds the data, empty if any will do, not null
 * @param requiredLabel a label that the host must have, empty if none, not null
 * @param maxTasksPerHost how many tasks of the step may run on one host, zero without a limit
 */
public record PlacementConstraints(String dataRack, String requiredLabel, int maxTasksPerHost) {
    /** Anywhere. */
    public static final PlacementConstraints NONE = new PlacementConstraints("", "", 0);
}
