package org.nettlering.domain.task;

import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;

/**
 * What the state answers to a command.
 *
 * <p>Immutable and thread-safe.
 */
public final class TaskCommandResult {
    /** The answer to a command that took effect or had taken effect before. */
    private static final TaskCommandResult ACCEPTED = new TaskCommandResult(null, "");

    /** The code of the refusal, or null. */
    private final @Nullable ErrorCode errorCode;

    /** What was refused and why, empty when accepted. */
    private final String message;

    /**
     * Returns the answer to a command that took effect or had taken effect before.
     *
     * @return the outcome, never null
     */
    public static TaskCommandResult accepted() {
        return ACCEPTED;
    }

    /**
     * Returns a refusal.
     *
     * @param errorCode the stable code, not null
     * @param message what was refused and why, not null
     * @return the outcome, never null
     */
    public static TaskCommandResult rejected(ErrorCode errorCode, String message) {
        return new TaskCommandResult(errorCode, message);
    }

    private TaskCommandResult(@Nullable ErrorCode errorCode, String message) {
        this.errorCode = errorCode;
        this.message = message;
    }

    /**
     * Tells whether the command took effect.
     *
     * @return true when it was not refused
     */
    public boolean isAccepted() {
        return errorCode == null;
    }

    /**
     * Returns the code of the refusal.
     *
     * @return the code, or empty when accepted, never null
     */
    public Optional<ErrorCode> errorCode() {
        return Optional.ofNullable(errorCode);
    }

    /**
     * Returns what was refused and why.
     *
     * @return the message, empty when accepted, never null
     */
    public String message() {
        return message;
    }
}
