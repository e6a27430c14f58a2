package org.nettlering.domain.ledger;

import java.time.Duration;

/** What the ledger answers. */
public sealed interface LedgerReply {
    /** The key belongs to the attempt, which may dispatch its request. */
    record Reserved() implements LedgerReply {}

    /**
     * Another attempt holds the key.
     *
     * @param entryId the entry of that attempt, not null
     * @param attemptId that attempt, not null
     * @param remaining how long that attempt may still wait for its answer, not null
     */
    record InFlight(String entryId, String attemptId, Duration remaining) implements LedgerReply {}

    /**
     * The request ran before, with this answer.
     *
     * @param answer the answer, not null
     */
    record Kept(KeptAnswer answer) implements LedgerReply {}

    /** The request may have run before; nobody knows. */
    record Unknown() implements LedgerReply {}

    /** The key was used before for another request. */
    record ContentMismatch() implements LedgerReply {}

    /** The key is not in the ledger. */
    record Absent() implements LedgerReply {}

    /** The outcome was stored. */
    record Stored() implements LedgerReply {}

    /** The ledger has no room; the request must not be dispatched. */
    record Full() implements LedgerReply {}
}
