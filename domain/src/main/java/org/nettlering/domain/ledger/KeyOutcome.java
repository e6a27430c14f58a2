package org.nettlering.domain.ledger;

/** How the attempt that held a key ended. */
public enum KeyOutcome {
    /** The upstream answered. */
    RESPONDED,
    /** The request certainly did not run; the key is free again. */
    NOT_RUN,
    /** Nobody knows whether the request ran. */
    UNKNOWN
}
