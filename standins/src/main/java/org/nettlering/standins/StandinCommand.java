package org.nettlering.standins;

/** One sub-command of the stand-in program; args4j fills its fields from the command line. */
public interface StandinCommand {
    /**
     * Runs the stand-in until it is stopped.
     *
     * @return the exit code of the process, 0 on success
     * @throws InterruptedException if the thread is interrupted while it waits
     */
    int run() throws InterruptedException;
}
