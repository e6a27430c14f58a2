package org.nettlering.domain.ledger;

import org.jspecify.annotations.Nullable;

/**
 * A key in the ledger.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reservation the attempt that took the key, not null
 * @param outcome how the attempt ended, null while it is in flight
 * @param response the answer, null unless the outcome is {@code ANSWERED}
 */
public record LedgerEntry(
        Reservation reservation,
        @Nullable KeyOutcome outcome,
        @Nullable StoredResponse response) {
    /**
     * Creates the entry of an attempt in flight.
     *
     * @param reservation the attempt, not null
     * @return the entry, never null
     */
    public static LedgerEntry inFlight(Reservation reservation) {
        return new LedgerEntry(reservation, null, null);
    }

    int bodyBytes() {
        return response == null ? 0 : response.bodyBytes();
    }

    LedgerEntry withoutBody() {
        return new LedgerEntry(reservation, outcome, response == null ? null : response.withBodyDropped());
    }
}
