package org.nettlering.domain.retry;

import org.nettlering.domain.error.ErrorCode;

/** What one attempt at an upstream proves. Implementations are immutable and thread-safe. */
public sealed interface AttemptOutcome {
    /** The upstream answered. */
    record Responded() implements AttemptOutcome {}

    /**
     * The request certainly did not run: no byte of it reached a connection, or the upstream itself said so.
     *
     * @param code why, not null
     */
    record NotRun(ErrorCode code) implements AttemptOutcome {}

    /**
     * The request may have run.
     *
     * @param code why, not null
     */
    record Unknown(ErrorCode code) implements AttemptOutcome {}
}
