package org.nettlering.domain.configuration;

import java.util.regex.Pattern;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Validates names and other arguments of configuration objects. */
final class ArgumentChecks {
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");

    private ArgumentChecks() {}

    /**
     * Validates a name.
     *
     * @param kind the kind of object, for the error message, not null
     * @param name the name, not null
     * @return the name, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} if the name is malformed
     */
    static String requireValidName(String kind, String name) {
        if (!NAME.matcher(name).matches()) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "the name \"" + name + "\" of a " + kind
                            + " must be 1 to 64 lower-case letters, digits, dots, underscores or hyphens,"
                            + " and begin and end with a letter or digit");
        }
        return name;
    }

    /**
     * Validates a condition on an argument.
     *
     * @param condition the condition
     * @param message the error message if the condition is false, not null
     * @throws NettleringException {@code INVALID_ARGUMENT} if the condition is false
     */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, message);
        }
    }
}
