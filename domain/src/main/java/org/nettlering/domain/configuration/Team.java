package org.nettlering.domain.configuration;

/**
 * A team and its quota of running batch work.
 *
 * <p>A quota of zero means no limit. Immutable and thread-safe.
 *
 * @param name the name, not null
 * @param millicores the most processor time in thousandths of a core, at least zero
 * @param memoryMebibytes the most memory in MiB, at least zero
 * @param accelerators the most accelerators, at least zero
 */
public record Team(String name, long millicores, long memoryMebibytes, int accelerators) {
    /**
     * Checks the values.
     *
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a value is negative
     */
    public Team {
        Names.check("team", name);
        Names.require(
                millicores >= 0 && memoryMebibytes >= 0 && accelerators >= 0,
                "a quota of team \"" + name + "\" is negative");
    }
}
