package org.nettlering.wire.transport;

import java.time.Duration;

/**
 * Bounds and periods of the connections between processes.
 *
 * <p>Start from {@link #defaults()} and replace what differs. Immutable and thread-safe.
 *
 * @param maxFrameBytes the largest frame that is sent or accepted
 * @param maxQueuedBytes the bytes that may wait to be written on one connection
 * @param maxPendingCalls the requests that may wait for a response on one connection, on either side
 * @param maxConnections the connections that a server accepts at one time
 * @param pingInterval how long a connection may be quiet before it is pinged
 * @param silenceTimeout how long a connection may stay quiet, in spite of pings, before it is replaced
 * @param minBackOff the shortest wait before a failed connection is made again
 * @param maxBackOff the longest wait before a failed connection is made again
 */
public record TransportLimits(
        int maxFrameBytes,
        int maxQueuedBytes,
        int maxPendingCalls,
        int maxConnections,
        Duration pingInterval,
        Duration silenceTimeout,
        Duration minBackOff,
        Duration maxBackOff) {
    private static final int DEFAULT_MAX_FRAME_BYTES = 4 * 1024 * 1024;
    private static final int DEFAULT_MAX_QUEUED_BYTES = 16 * 1024 * 1024;
    private static final int DEFAULT_MAX_PENDING_CALLS = 4096;
    private static final int DEFAULT_MAX_CONNECTIONS = 1024;
    private static final Duration DEFAULT_PING_INTERVAL = Duration.ofMillis(500);
    private static final Duration DEFAULT_SILENCE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration DEFAULT_MIN_BACK_OFF = Duration.ofMillis(50);
    private static final Duration DEFAULT_MAX_BACK_OFF = Duration.ofSeconds(1);

    /**
     * Returns the limits that the programs use.
     *
     * @return the limits, never null
     */
    public static TransportLimits defaults() {
        return new TransportLimits(
                DEFAULT_MAX_FRAME_BYTES,
                DEFAULT_MAX_QUEUED_BYTES,
                DEFAULT_MAX_PENDING_CALLS,
                DEFAULT_MAX_CONNECTIONS,
                DEFAULT_PING_INTERVAL,
                DEFAULT_SILENCE_TIMEOUT,
                DEFAULT_MIN_BACK_OFF,
                DEFAULT_MAX_BACK_OFF);
    }

    /**
     * Returns a copy with another bound for one frame.
     *
     * @param bytes the largest frame
     * @return a new value, never null
     */
    public TransportLimits withMaxFrameBytes(int bytes) {
        return new TransportLimits(
                bytes,
                maxQueuedBytes,
                maxPendingCalls,
                maxConnections,
                pingInterval,
                silenceTimeout,
                minBackOff,
                maxBackOff);
    }

    /**
     * Returns a copy with another bound for the bytes that wait to be written.
     *
     * @param bytes the bytes for one connection
     * @return a new value, never null
     */
    public TransportLimits withMaxQueuedBytes(int bytes) {
        return new TransportLimits(
                maxFrameBytes,
                bytes,
                maxPendingCalls,
                maxConnections,
                pingInterval,
                silenceTimeout,
                minBackOff,
                maxBackOff);
    }

    /**
     * Returns a copy with another bound for pending calls.
     *
     * @param calls the calls on one connection
     * @return a new value, never null
     */
    public TransportLimits withMaxPendingCalls(int calls) {
        return new TransportLimits(
                maxFrameBytes,
                maxQueuedBytes,
                calls,
                maxConnections,
                pingInterval,
                silenceTimeout,
                minBackOff,
                maxBackOff);
    }

    /**
     * Returns how many quiet ping intervals make a connection silent.
     *
     * @return at least one
     */
    public int silentIntervals() {
        return (int) Math.max(1, silenceTimeout.toMillis() / Math.max(1, pingInterval.toMillis()));
    }
}
