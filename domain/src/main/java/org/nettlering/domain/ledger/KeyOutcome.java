package org.nettlering.domain.ledger;

/** The outcome of the attempt that reserved a key. */
public enum KeyOutcome {
    /** The upstream responded. */
    RESPONDED,
    /** The request did not run, so the key is removed and can be reserved again. */
    NOT_RUN,
    /** The request may have run. */
    UNKNOWN
}
