package org.nettlering.domain.workflow;

/**
 * The constraints and preferences that apply to the placement of a step's tasks.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataRack the rack that holds the data and is preferred, empty if there is no preference, not null
 * @param requiredLabel the label that a host must have, empty if none is required, not null
 * @param maxTasksPerHost the maximum number of tasks of the step on one host, zero if unlimited
 */
public record PlacementConstraints(String dataRack, String requiredLabel, int maxTasksPerHost) {
    /** No constraints: the tasks may run on any host. */
    public static final PlacementConstraints NONE = new PlacementConstraints("", "", 0);
}
