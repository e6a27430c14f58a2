package org.nettlering.domain.retry;

import java.util.concurrent.locks.ReentrantLock;

/**
 * Bounds the retries and hedges of a service to a share of its requests.
 *
 * <p>Each request earns {@link #TOKENS_PER_REQUEST} of a further attempt; unused earnings add up to at most
 * {@link #MAXIMUM_TOKENS}. Thread-safe.
 */
public final class RetryBudget {
    /** What a request earns; with it, attempts stay below 1.2 a request. */
    public static final double TOKENS_PER_REQUEST = 0.15;

    /** How many attempts are saved up at most. */
    public static final double MAXIMUM_TOKENS = 20;

    private static final double INITIAL_TOKENS = 5;

    /** Guards the savings. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The attempts that may be spent. */
    private double tokens = INITIAL_TOKENS;

    /**
     * Creates a budget with a few attempts saved.
     *
     * @return a new budget, never null
     */
    public static RetryBudget create() {
        return new RetryBudget();
    }

    private RetryBudget() {}

    /** Counts a request. */
    public void deposit() {
        lock.lock();
        try {
            tokens = Math.min(MAXIMUM_TOKENS, tokens + TOKENS_PER_REQUEST);
        } finally {
            lock.unlock();
        }
    }

    /**
     * Takes a further attempt out of the budget.
     *
     * @return true when there was one
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
