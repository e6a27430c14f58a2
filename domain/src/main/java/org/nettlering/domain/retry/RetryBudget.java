package org.nettlering.domain.retry;

import java.util.concurrent.locks.ReentrantLock;

/**
 * Limits the retries and hedges of a service to a share of its requests.
 *
 * <p>The budget is a token bucket: each request deposits {@link #TOKENS_PER_REQUEST}, each further attempt withdraws
 * one token, and the balance is at most {@link #MAXIMUM_TOKENS}. Thread-safe.
 */
public final class RetryBudget {
    /** The tokens that a request deposits, which keep the attempts below 1.2 per request. */
    public static final double TOKENS_PER_REQUEST = 0.15;

    /** The maximum number of tokens, and thus of further attempts in a burst. */
    public static final double MAXIMUM_TOKENS = 20;

    private static final double INITIAL_TOKENS = 5;

    /** Guards {@link #tokens}. */
    private final ReentrantLock lock = new ReentrantLock();

    private double tokens = INITIAL_TOKENS;

    /**
     * Creates a budget with the initial number of tokens.
     *
     * @return a new budget, never null
     */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    private RetryBudget() {}

    /** Deposits the tokens of one request. */
    public void deposit() {
        lock.lock();
        try {
            tokens = Math.min(MAXIMUM_TOKENS, tokens + TOKENS_PER_REQUEST);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Withdraws one token for a further attempt.
     *
     * @return true when a token was available
     */
    public boolean tryWithdraw() {
        lock.lock();
        try {
            if (tokens < 1) {
                return false;
            }
            tokens -= 1;
            return true;
        } finally {
            lock.unlock();
        }
    }
}
