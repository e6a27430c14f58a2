package org.nettlering.standins.load;

/** What a caller knows about a request or one attempt of it. */
public enum Outcome {
    /** The whole answer arrived. */
    ANSWERED,
    /** It certainly did not run. */
    NOT_RUN,
    /** It may or may not have run. */
    UNKNOWN,
    /** An answer arrived that is not whole or belongs to another request; this breaks a promise. */
    WRONG
}
