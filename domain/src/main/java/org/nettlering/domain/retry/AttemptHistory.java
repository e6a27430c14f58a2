package org.nettlering.domain.retry;

/**
 * The attempts of a request so far.
 *
 * <p>Immutable and thread-safe.
 *
 * @param attempts how many were made
 * @param outcome what is known of the request after them, not null
 */
public record AttemptHistory(int attempts, RequestOutcome outcome) {
    /**
     * Returns the history of a request that was not tried.
     *
     * @return the empty history, never null
     */
    public static AttemptHistory empty() {
        return new AttemptHistory(0, RequestOutcome.NOT_RUN);
    }

    /**
     * Returns a copy with an attempt that begins.
     *
     * @return the copy, never null
     */
    public AttemptHistory withAttempt() {
        return new AttemptHistory(attempts + 1, outcome);
    }

    /**
     * Returns a copy with what an attempt proved.
     *
     * @param attemptOutcome what it proved, not null
     * @return the copy; once the outcome is unknown it stays so, never null
     */
    public AttemptHistory withOutcome(AttemptOutcome attemptOutcome) {
        return switch (attemptOutcome) {
            case AttemptOutcome.NotRun notRun -> this;
            case AttemptOutcome.Responded responded -> this;
            case AttemptOutcome.Unknown unknown -> new AttemptHistory(attempts, RequestOutcome.UNKNOWN);
        };
    }
}
