package org.nettlering.standins.load;

import java.time.Duration;

/**
 * The requests of one run.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the start of every request's identifier
 * @param path the path to ask for
 * @param requests how many requests
 * @param requestsPerSecond the rate, which does not depend on the answers
 * @param nonIdempotentEvery each request whose number is a multiple of this is a POST with an idempotency key; 0 for none
 * @param attempts the most attempts for one request
 * @param timeout the time for one attempt
 */
public record LoadPlan(
        String name,
        String path,
        int requests,
        int requestsPerSecond,
        int nonIdempotentEvery,
        int attempts,
        Duration timeout) {
    /**
     * Tells whether a request carries an idempotency key.
     *
     * @param number the number of the request
     * @return true if it is a POST with a key
     */
    public boolean isNonIdempotent(int number) {
        return nonIdempotentEvery > 0 && number % nonIdempotentEvery == 0;
    }
}
