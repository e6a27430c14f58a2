package org.nettlering.domain.retry;

import org.nettlering.domain.error.ErrorCode;

/** The decision about a request after an attempt without a response. Implementations are immutable and thread-safe. */
public sealed interface RetryDecision {
    /** The request is retried, on another upstream if there is one. */
    record Retry() implements RetryDecision {}

    /**
     * The request is not retried and fails.
     *
     * @param code the reason, not null
     * @param outcome what is known about the execution of the request, not null
     */
    record GiveUp(ErrorCode code, RequestOutcome outcome) implements RetryDecision {}
}
