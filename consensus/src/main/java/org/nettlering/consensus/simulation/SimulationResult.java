package org.nettlering.consensus.simulation;

/**
 * The result of a simulation. Immutable.
 *
 * @param seed the seed that reproduces the run
 * @param violation the first violation, empty if there was none, not null
 * @param acknowledgedCommands the number of acknowledged commands
 * @param completedReads the number of completed reads
 * @param injectedFaults the number of injected faults
 * @param endsWithLoss whether the run ended with the loss of disks
 */
public record SimulationResult(
        long seed,
        String violation,
        long acknowledgedCommands,
        long completedReads,
        long injectedFaults,
        boolean endsWithLoss) {
    /**
     * Returns whether the run passed all checks.
     *
     * @return true if there was no violation
     */
    public boolean isPassed() {
        return violation.isEmpty();
    }

    /**
     * Returns the command that reproduces the run.
     *
     * @return the command line, never null
     */
    public String repeatCommand() {
        return "./build seeds --count 1 --first " + seed + (endsWithLoss ? " --loss" : "");
    }
}
