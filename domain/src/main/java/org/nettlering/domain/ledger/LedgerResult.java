package org.nettlering.domain.ledger;

import java.time.Duration;

/** What the ledger answers. */
public sealed interface LedgerResult {
    /** The key belongs to the attempt, which may dispatch its request. */
    record Reserved() implements LedgerResult {}

    /**
     * Another attempt holds the key.
     *
     * @param entryId the entry of that attempt, not null
     * @param attemptId that attempt, not null
     * @param remaining how long that attempt may still wait for its answer, not null
     */
    record InFlight(String entryId, String attemptId, Duration remaining) implements LedgerResult {}

    /**
     * The request ran before, with this answer.
     *
     * @param response the answer, not null
     */
    record Completed(StoredResponse response) implements LedgerResult {}

    /** The request may have run before; nobody knows. */
    record Unknown() implements LedgerResult {}

    /** The key was used before for another request. */
    record ContentMismatch() implements LedgerResult {}

    /** The key is not in the ledger. */
    record Absent() implements LedgerResult {}

    /** The outcome was stored. */
    record OutcomeStored() implements LedgerResult {}

    /** The ledger has no room; the request must not be dispatched. */
    record Full() implements LedgerResult {}
}
