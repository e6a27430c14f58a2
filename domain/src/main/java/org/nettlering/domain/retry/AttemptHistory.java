package org.nettlering.domain.retry;

/**
 * The attempts of a request so far.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempts the number of attempts
 * @param outcome what is known about the execution of the request after these attempts, not null
 */
public record AttemptHistory(int attempts, RequestOutcome outcome) {
    /**
     * Returns the history of a request without attempts.
     *
     * @return the empty history, never null
     */
    public static AttemptHistory empty() {
        return new AttemptHistory(0, RequestOutcome.NOT_RUN);
    }

    /**
     * Returns a copy with one more attempt.
     *
     * @return the copy, never null
     */
    public AttemptHistory withAttempt() {
        return new AttemptHistory(attempts + 1, outcome);
    }

    /**
     * Returns a copy that includes the outcome of an attempt.
     *
     * @param attemptOutcome the outcome, not null
     * @return the copy, never null; an unknown outcome of the request remains unknown
     */
    public AttemptHistory withOutcome(AttemptOutcome attemptOutcome) {
        return switch (attemptOutcome) {
            case AttemptOutcome.NotRun notRun -> this;
            case AttemptOutcome.Responded responded -> this;
            case AttemptOutcome.Unknown unknown -> new AttemptHistory(attempts, RequestOutcome.UNKNOWN);
        };
    }
}
