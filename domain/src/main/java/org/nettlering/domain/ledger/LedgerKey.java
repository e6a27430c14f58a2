package org.nettlering.domain.ledger;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The idempotency key of a request to a service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service, not empty
 * @param key the key that the caller chose, not empty, at most {@value #MAXIMUM_KEY_CHARACTERS} characters
 */
public record LedgerKey(String service, String key) {
    /** How long a key is at most. */
    public static final int MAXIMUM_KEY_CHARACTERS = 200;

    /**
     * Checks the parts.
     *
     * @throws NettleringException {@code INVALID_ARGUMENT} when a part is empty or too long
     */
    public LedgerKey {
        if (service.isEmpty() || key.isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "an idempotency key or its service is empty");
        }
        if (key.length() > MAXIMUM_KEY_CHARACTERS) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "an idempotency key is longer than " + MAXIMUM_KEY_CHARACTERS + " characters");
        }
    }
}
