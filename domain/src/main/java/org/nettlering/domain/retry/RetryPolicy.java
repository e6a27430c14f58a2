package org.nettlering.domain.retry;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;

/**
 * Decides whether a request is tried again.
 *
 * <p>A request whose body can be sent again is tried again when it certainly did not run, or when it may have run and is
 * idempotent; both only within the deadline, {@link #MAXIMUM_ATTEMPTS} and the budget. Thread-safe.
 */
public final class RetryPolicy {
    /** How often a request is tried at most. */
    public static final int MAXIMUM_ATTEMPTS = 3;

    private RetryPolicy() {}

    /**
     * Decides after an attempt without an answer.
     *
     * @param outcome what the attempt proves, not null
     * @param traits the request, not null
     * @param history the attempts so far, this one included, not null
     * @param remaining the time to the deadline, not null
     * @param budget the service's budget, not null
     * @return the decision, never null
     */
    public static RetryDecision decide(
            AttemptOutcome outcome,
            RequestTraits traits,
            AttemptHistory history,
            Duration remaining,
            RetryBudget budget) {
        return switch (outcome) {
            case AttemptOutcome.Responded responded ->
                throw new IllegalArgumentException("an answered attempt needs no decision");
            case AttemptOutcome.NotRun(ErrorCode code) -> decide(traits.replayable(), code, history, remaining, budget);
            case AttemptOutcome.Unknown(ErrorCode code) ->
                decide(traits.idempotent() && traits.replayable(), code, history, remaining, budget);
        };
    }

    private static RetryDecision decide(
            boolean retryable, ErrorCode code, AttemptHistory history, Duration remaining, RetryBudget budget) {
        if (!remaining.isPositive()) {
            return new RetryDecision.GiveUp(ErrorCode.DEADLINE_EXCEEDED, history.outcome());
        }
        if (!retryable || history.attempts() >= MAXIMUM_ATTEMPTS || !budget.tryWithdraw()) {
            return new RetryDecision.GiveUp(code, history.outcome());
        }
        return new RetryDecision.Retry();
    }
}
