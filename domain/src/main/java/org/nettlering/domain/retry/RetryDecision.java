package org.nettlering.domain.retry;

import org.nettlering.domain.error.ErrorCode;

/** What happens to a request after an attempt without an answer. Implementations are immutable and thread-safe. */
public sealed interface RetryDecision {
    /** The request is tried again, at another upstream if there is one. */
    record Retry() implements RetryDecision {}

    /**
     * The request gets its final answer at once.
     *
     * @param code why, not null
     * @param outcome what is known, not null
     */
    record GiveUp(ErrorCode code, RequestOutcome outcome) implements RetryDecision {}
}
