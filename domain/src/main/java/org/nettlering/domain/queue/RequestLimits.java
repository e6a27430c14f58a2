package org.nettlering.domain.queue;

/**
 * The bounds on callers' requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the largest request head, in bytes
 * @param maxBodyBytes the largest request body, in bytes
 * @param headerTimeoutMillis how long a request head may take, in milliseconds
 * @param idleTimeoutMillis how long a connection may stay unused, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The bounds before an operator has set any. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 262_144, 3_000, 15_000);
}
