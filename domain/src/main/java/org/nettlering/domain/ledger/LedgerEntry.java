package org.nettlering.domain.ledger;

import org.jspecify.annotations.Nullable;

/**
 * The reservation of a key and its outcome.
 *
 * <p>Immutable and thread-safe.
 *
 * @param reservation the reservation, not null
 * @param outcome the outcome of the attempt, null while it is in flight
 * @param response the response, null unless the outcome is {@code RESPONDED}
 */
public record LedgerEntry(
        Reservation reservation,
        @Nullable KeyOutcome outcome,
        @Nullable StoredResponse response) {
    /**
     * Creates the entry of an attempt in flight.
     *
     * @param reservation the reservation, not null
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
