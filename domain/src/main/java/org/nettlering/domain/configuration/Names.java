package org.nettlering.domain.configuration;

import java.util.regex.Pattern;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Checks the names of configured things. */
final class Names {
    /** What a name may look like. */
    private static final Pattern NAME = Pattern.compile("[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?");

    private Names() {}

    /**
     * Checks a name.
     *
     * @param kind the kind of thing, for the message, not null
     * @param name the name, not null
     * @return the name, never null
     * @throws NettleringException {@code INVALID_ARGUMENT} if the name has another form
     */
    static String check(String kind, String name) {
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
     * Checks a condition on an argument.
     *
     * @param condition what must hold
     * @param message what to say otherwise, not null
     * @throws NettleringException {@code INVALID_ARGUMENT} if the condition does not hold
     */
    static void require(boolean condition, String message) {
        if (!condition) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, message);
        }
    }
}
