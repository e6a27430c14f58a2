package org.nettlering.entry;

import java.time.Duration;

/**
 * Bounds of what the entry takes from outside.
 *
 * <p>Immutable and thread-safe.
 *
 * @param headBytes how large the head of a request may be
 * @param bodyBytes how large the body of a request may be
 * @param replayBytes how large a body may be to be sent again, or an answer to be held until it is whole
 * @param waitingRequests how many requests wait at most, over all services
 * @param headTimeout how long a connection may take to send a whole head, and may stay unused, not null
 * @param balancerNotice how long the entry accepts requests after it turned unready, not null
 * @param stopTimeout how long a stop waits for the requests in flight, not null
 */
public record RequestLimits(
        int headBytes,
        long bodyBytes,
        int replayBytes,
        int waitingRequests,
        Duration headTimeout,
        Duration balancerNotice,
        Duration stopTimeout) {
    private static final int DEFAULT_HEAD_BYTES = 16 * 1024;
    private static final long DEFAULT_BODY_BYTES = 64L * 1024 * 1024;
    private static final int DEFAULT_REPLAY_BYTES = 64 * 1024;
    private static final int DEFAULT_WAITING_REQUESTS = 2_000;
    private static final Duration DEFAULT_HEAD_TIMEOUT = Duration.ofSeconds(15);
    private static final Duration DEFAULT_BALANCER_NOTICE = Duration.ofSeconds(3);
    private static final Duration DEFAULT_STOP_TIMEOUT = Duration.ofSeconds(60);

    /**
     * Returns the limits that hold where the settings name none.
     *
     * @return the limits, never null
     */
    public static RequestLimits defaults() {
        return new RequestLimits(
                DEFAULT_HEAD_BYTES,
                DEFAULT_BODY_BYTES,
                DEFAULT_REPLAY_BYTES,
                DEFAULT_WAITING_REQUESTS,
                DEFAULT_HEAD_TIMEOUT,
                DEFAULT_BALANCER_NOTICE,
                DEFAULT_STOP_TIMEOUT);
    }

    /**
     * Returns a copy with other times of a stop.
     *
     * @param notice how long the entry accepts requests after it turned unready, not null
     * @param timeout how long a stop waits for the requests in flight, not null
     * @return the copy, never null
     */
    public RequestLimits withStop(Duration notice, Duration timeout) {
        return new RequestLimits(headBytes, bodyBytes, replayBytes, waitingRequests, headTimeout, notice, timeout);
    }

    /**
     * Returns a copy with other sizes.
     *
     * @param newHeadBytes how large the head of a request may be
     * @param newBodyBytes how large the body of a request may be
     * @param newReplayBytes how large a body may be to be sent again
     * @return the copy, never null
     */
    public RequestLimits withSizes(int newHeadBytes, long newBodyBytes, int newReplayBytes) {
        return new RequestLimits(
                newHeadBytes, newBodyBytes, newReplayBytes, waitingRequests, headTimeout, balancerNotice, stopTimeout);
    }

    /**
     * Returns a copy with another time for a head.
     *
     * @param timeout how long a connection may take to send a whole head, not null
     * @return the copy, never null
     */
    public RequestLimits withHeadTimeout(Duration timeout) {
        return new RequestLimits(
                headBytes, bodyBytes, replayBytes, waitingRequests, timeout, balancerNotice, stopTimeout);
    }
}
