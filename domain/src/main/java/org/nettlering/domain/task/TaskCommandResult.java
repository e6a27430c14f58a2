package org.nettlering.domain.task;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;

/**
 * The result of applying a {@link TaskCommand}: accepted, or rejected with an error code and a message.
 *
 * <p>Immutable and thread-safe.
 */
public final class TaskCommandResult {
    private static final TaskCommandResult ACCEPTED = new TaskCommandResult(null, "");

    private final @Nullable ErrorCode errorCode;

    private final String message;

    /**
     * Returns the result of a command that took effect, now or when it was applied before.
     *
     * @return the result, never null
     */
    public static TaskCommandResult accepted() {
        return ACCEPTED;
    }

    /**
     * Returns the result of a rejected command.
     *
     * @param errorCode the stable error code, not null
     * @param message the reason for the rejection, not null
     * @return the result, never null
     */
    public static TaskCommandResult rejected(ErrorCode errorCode, String message) {
        return new TaskCommandResult(errorCode, message);
    }

    private TaskCommandResult(@Nullable ErrorCode errorCode, String message) {
        this.errorCode = errorCode;
        this.message = message;
    }

    /**
     * Returns whether the command was accepted.
     *
     * @return true unless the command was rejected
     */
    public boolean isAccepted() {
        return errorCode == null;
    }

    /**
     * Returns the error code of a rejected command.
     *
     * @return the code, or empty if accepted, never null
     */
    public Optional<ErrorCode> errorCode() {
        return Optional.ofNullable(errorCode);
    }

    /**
     * Returns the reason for the rejection.
     *
     * @return the message, empty if accepted, never null
     */
    public String message() {
        return message;
    }
}
