package org.nettlering.domain.ledger;

import java.time.Duration;
import java.time.Instant;

/**
 * A key that an attempt takes before its request is dispatched.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key, not null
 * @param contentDigest the digest of the request, as hexadecimal text, not null
 * @param entryId the entry that dispatches the request, not null
 * @param attemptId the attempt, unique over all entries, not null
 * @param time when the key was taken, by the clock of the control leader, not null
 * @param timeout how long the attempt waits for its answer at most, not null
 */
public record Reservation(
        LedgerKey key, String contentDigest, String entryId, String attemptId, Instant time, Duration timeout) {}
