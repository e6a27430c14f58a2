package org.nettlering.domain.queue;

/**
 * The limits on requests from clients.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of the request headers, in bytes
 * @param maxBodyBytes the maximum size of the request body, in bytes
 * @param headerTimeoutMillis the time limit for receiving the request headers, in milliseconds
 * @param idleTimeoutMillis the time after which an idle connection is closed, in milliseconds
 */
public record RequestLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits in effect before an operator configures any. */
    public static final RequestLimits DEFAULT = new RequestLimits(16_384, 262_144, 3_000, 15_000);

    /**
     * Returns limits that can be applied: zero, which would refuse every request, stands for the default.
     *
     * @return limits that are all positive, never null
     */
    public RequestLimits withDefaults() {
        return new RequestLimits(
                maxHeaderBytes > 0 ? maxHeaderBytes : DEFAULT.maxHeaderBytes,
                maxBodyBytes > 0 ? maxBodyBytes : DEFAULT.maxBodyBytes,
                headerTimeoutMillis > 0 ? headerTimeoutMillis : DEFAULT.headerTimeoutMillis,
                idleTimeoutMillis > 0 ? idleTimeoutMillis : DEFAULT.idleTimeoutMillis);
    }
}
