package org.nettlering.domain.error;

/**
 * An unchecked exception with a stable error code.
 *
 * <p>Thrown for all expected failures. The message names the object that failed. Immutable except for the stack trace and
 * suppressed exceptions.
 */
public class NettleringException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    private final ErrorCode code;

    /**
     * Creates an exception.
     *
     * @param code the stable code, not null
     * @param message what failed, including the name of the object, not null
     */
    public NettleringException(ErrorCode code, String message) {
        super(message);
        this.code = code;
    }

    /**
     * Creates an exception with a cause.
     *
     * @param code the stable code, not null
     * @param message what failed, including the name of the object, not null
     * @param cause the cause, not null
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
