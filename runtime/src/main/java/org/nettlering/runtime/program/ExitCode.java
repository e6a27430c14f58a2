package org.nettlering.runtime.program;

/** The exit codes of the programs; they keep their meaning. */
public enum ExitCode {
    /** Everything that was asked for is done. */
    SUCCESS(0),
    /** The request was refused, or the program failed. */
    FAILURE(1),
    /** The command line or the settings are wrong; nothing was started or sent. */
    USAGE(2),
    /** The request may or may not have taken effect; repeat it with the same operation id. */
    UNKNOWN_OUTCOME(3),
    /** No process of the system could be reached; the request was not run. */
    UNREACHABLE(4);

    /** The number for the operating system. */
    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /**
     * Returns the number for the operating system.
     *
     * @return a number from 0 to 4
     */
    public int number() {
        return number;
    }
}
