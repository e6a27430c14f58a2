package org.nettlering.consensus.simulation;

/**
 * The outcome of a run.
 *
 * @param seed the seed that repeats it
 * @param violation what went wrong, empty if nothing did, not null
 * @param acknowledgedCommands how many commands were acknowledged
 * @param completedReads how many reads were answered
 * @param injectedFaults how many faults struck
 */
public record SimulationResult(
        long seed, String violation, long acknowledgedCommands, long completedReads, long injectedFaults) {
    /**
     * Tells whether every check held.
     *
     * @return true if nothing went wrong
     */
    public boolean isPassed() {
        return violation.isEmpty();
    }

    /**
     * Returns the command that repeats the run.
     *
     * @return the command line, never null
     */
    public String repeatCommand() {
        return "./build seeds --count 1 --first " + seed;
    }
}
