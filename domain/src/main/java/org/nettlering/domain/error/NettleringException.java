package org.nettlering.domain.error;

/**
 * The unchecked exception of the project, with a stable code.
 *
 * <p>Thrown for every expected failure; the message names the thing that failed. Immutable apart from the stack trace
 * and suppressed exceptions.
 */
public class NettleringException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    /** The stable code. */
    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code the stable code, not null
     * @param message what failed, naming the thing, not null
     */
    public NettleringException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable code, not null
     * @param message what failed, naming the thing, not null
     * @param cause what made it fail, not null
     */
    public NettleringException(ErrorCode code, String message, Throwable cause) {
        super(message, cause);
        this.code = code;
    }

    /**
     * Returns the stable code.
     *
     * @return the code, never null
     */
    public ErrorCode code() {
        return code;
    }
}
