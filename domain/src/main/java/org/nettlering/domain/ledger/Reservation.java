package org.nettlering.domain.ledger;

import java.time.Duration;
import java.time.Instant;

/**
 * The reservation of a key for an attempt, made before the request is dispatched.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the key, not null
 * @param contentDigest the digest of the request in hexadecimal, not null
 * @param entryId the entry that dispatches the request, not null
 * @param attemptId the id of the attempt, unique over all entries, not null
 * @param time the time of the reservation by the clock of the control leader, not null
 * @param timeout how long the attempt waits for its response, not null
 */
public record Reservation(
        LedgerKey key, String contentDigest, String entryId, String attemptId, Instant time, Duration timeout) {}
