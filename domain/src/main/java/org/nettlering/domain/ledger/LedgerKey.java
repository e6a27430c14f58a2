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
    /** The maximum length of a key. */
    public static final int MAXIMUM_KEY_CHARACTERS = 200;

    /**
     * Validates the components.
     *
     * @throws NettleringException {@code INVALID_ARGUMENT} when a component is empty or the key is too long
     */
    public LedgerKey {
        if (service.isEmpty() || key.isEmpty()) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "the idempotency key or the service name is empty");
        }
        if (key.length() > MAXIMUM_KEY_CHARACTERS) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "the idempotency key is longer than " + MAXIMUM_KEY_CHARACTERS + " characters");
        }
    }
}
