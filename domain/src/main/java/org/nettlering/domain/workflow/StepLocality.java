package org.nettlering.domain.workflow;

/**
 * Where the tasks of a step may or should run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param dataRack the rack that holds the data, empty if any will do, not null
 * @param requiredLabel a label that the host must have, empty if none, not null
 * @param maxPerHost how many tasks of the step may run on one host, zero without a limit
 */
public record StepLocality(String dataRack, String requiredLabel, int maxPerHost) {
    /** Anywhere. */
    public static final StepLocality ANYWHERE = new StepLocality("", "", 0);
}
