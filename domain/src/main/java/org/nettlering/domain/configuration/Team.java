package org.nettlering.domain.configuration;

/**
 * A team and its quota for running batch work.
 *
 * <p>A quota of zero means no limit. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param millicores the processor quota in thousandths of a core, at least zero
 * @param memoryMebibytes the memory quota in MiB, at least zero
 * @param accelerators the accelerator quota, at least zero
 */
public record Team(String name, long millicores, long memoryMebibytes, int accelerators) {
    /**
     * Validates the values.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a value is negative
     */
    public Team {
        ArgumentChecks.requireValidName("team", name);
        ArgumentChecks.require(
                millicores >= 0 && memoryMebibytes >= 0 && accelerators >= 0,
                "a quota of team \"" + name + "\" is negative");
    }
}
