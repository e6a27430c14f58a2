package org.nettlering.domain.retry;

import org.nettlering.domain.error.ErrorCode;

/** The outcome of one attempt to run a request on an upstream. Implementations are immutable and thread-safe. */
public sealed interface AttemptOutcome {
    /** The upstream responded. */
    record Responded() implements AttemptOutcome {}

    /**
     * The request did not run: no byte of it was written to a connection, or the upstream reported that it did not run.
     *
     * @param code the reason, not null
     */
    record NotRun(ErrorCode code) implements AttemptOutcome {}

    /**
     * The request may have run.
     *
     * @param code the reason, not null
     */
    record Unknown(ErrorCode code) implements AttemptOutcome {}
}
