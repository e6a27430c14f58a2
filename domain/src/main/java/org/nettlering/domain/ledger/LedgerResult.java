package org.nettlering.domain.ledger;

import java.time.Duration;

/** The result of a ledger command or lookup. Implementations are immutable and thread-safe. */
public sealed interface LedgerResult {
    /** The key is reserved for this attempt, which may dispatch its request. */
    record Reserved() implements LedgerResult {}

    /**
     * The key is reserved for an attempt in flight.
     *
     * @param entryId the entry that made the attempt, not null
     * @param attemptId the id of the attempt, not null
     * @param remaining the time until the attempt times out, not negative, not null
     */
    record InFlight(String entryId, String attemptId, Duration remaining) implements LedgerResult {}

    /**
     * The request has run and its response is stored.
     *
     * @param response the response, not null
     */
    record Completed(StoredResponse response) implements LedgerResult {}

    /** The request may have run before, but its outcome is not known. */
    record Unknown() implements LedgerResult {}

    /** The key was reserved for a request with different content. */
    record ContentMismatch() implements LedgerResult {}

    /** The key is not in the ledger. */
    record Absent() implements LedgerResult {}

    /** The outcome was stored. */
    record OutcomeStored() implements LedgerResult {}

    /** The ledger is full; the request must not be dispatched. */
    record Full() implements LedgerResult {}
}
