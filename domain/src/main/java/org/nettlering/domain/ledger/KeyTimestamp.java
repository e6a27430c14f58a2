package org.nettlering.domain.ledger;

import java.time.Instant;
import java.util.Optional;
import java.util.UUID;

/** Extracts the creation time from keys that contain one. */
final class KeyTimestamp {
    private static final int TIME_ORDERED_VERSION = 7;
    private static final int TIME_SHIFT_BITS = 16;
    private static final int UUID_CHARACTERS = 36;

    private KeyTimestamp() {}

    /** Returns the timestamp of a version 7 UUID, or empty for any other key. */
    static Optional<Instant> of(String key) {
        if (key.length() != UUID_CHARACTERS) {
            return Optional.empty();
        }
        try {
            UUID uuid = UUID.fromString(key);
            return uuid.version() == TIME_ORDERED_VERSION
                    ? Optional.of(Instant.ofEpochMilli(uuid.getMostSignificantBits() >>> TIME_SHIFT_BITS))
                    : Optional.empty();
        } catch (IllegalArgumentException exception) {
            return Optional.empty();
        }
    }
}
