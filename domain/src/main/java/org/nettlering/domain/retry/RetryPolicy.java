package org.nettlering.domain.retry;

import java.time.Duration;
import org.nettlering.domain.error.ErrorCode;

/**
 * Decides whether a request is retried.
 *
 * <p>A request is retried if all of these hold:
 *
 * <ul>
 *   <li>It did not run, or it is idempotent.
 *   <li>Its body can be sent again.
 *   <li>Its deadline has not passed.
 *   <li>It had fewer than {@link #MAXIMUM_ATTEMPTS} attempts.
 *   <li>The retry budget of the service has a token.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class RetryPolicy {
    /** The maximum number of attempts per request, including the first one. */
    public static final int MAXIMUM_ATTEMPTS = 3;

    private RetryPolicy() {}

    /**
     * Decides whether to retry a request after an attempt without a response; a retry withdraws a token.
     *
     * @param outcome the outcome of the attempt, not null
     * @param traits the properties of the request, not null
     * @param history the attempts so far, including this one, not null
     * @param remaining the time until the deadline, not null
     * @param budget the retry budget of the service, not null
     * @return the decision, never null
     * @throws IllegalArgumentException when the upstream responded
     */
    public static RetryDecision decide(
            AttemptOutcome outcome,
            RequestTraits traits,
            AttemptHistory history,
            Duration remaining,
            RetryBudget budget) {
        return switch (outcome) {
            case AttemptOutcome.Responded responded ->
                throw new IllegalArgumentException("an attempt with a response needs no retry decision");
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
