package org.nettlering.operator.client;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.runtime.program.ExitCode;

/** A request that the system did not carry out, with what the program exits with. */
public final class OperatorException extends NettleringException {
    private static final long serialVersionUID = 1L;

    /** What the program exits with. */
    private final ExitCode exitCode;

    /**
     * Creates an exception.
     *
     * @param code the stable code, not null
     * @param message what failed, not null
     * @param exitCode what the program exits with, not null
     */
    public OperatorException(ErrorCode code, String message, ExitCode exitCode) {
        super(code, message);
        this.exitCode = exitCode;
    }

    /**
     * Returns what the program exits with.
     *
     * @return the exit code, never null
     */
    public ExitCode exitCode() {
        return exitCode;
    }
}
