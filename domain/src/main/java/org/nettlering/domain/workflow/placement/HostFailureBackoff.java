package org.nettlering.domain.workflow.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.workflow.TerminalStatus;

/**
 * Which hosts to avoid because of how runs ended there.
 *
 * <p>Answers hosts that fail whatever they start while they look well, and so always have room: each failure in a row
 * puts a host behind those without, and from the second on it gets nothing for a while that doubles up to a bound.
 * Not thread-safe.
 */
public final class HostFailureBackoff {
    /** From this many failures in a row on, a host gets nothing for a while. */
    private static final int MIN_CONSECUTIVE_FAILURES = 2;

    /** How long a host gets nothing at first. */
    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(4);

    /** How often the pause doubles at most. */
    private static final int MAX_DOUBLINGS = 3;

    /** The doubts by the id of the host's life. */
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /**
     * Creates a record without doubts.
     *
     * @return a new record, never null
     */
    public static HostFailureBackoff create() {
        return new HostFailureBackoff();
    }

    private HostFailureBackoff() {}

    /** What is held against one host. */
    private record Backoff(int consecutiveFailures, long untilNanos) {}

    /**
     * Takes note of how a run ended.
     *
     * @param hostId the life of the host, not null
     * @param status how the run ended, not null
     * @param nowNanos the monotonic time
     */
    public void recordTermination(String hostId, TerminalStatus status, long nowNanos) {
        switch (status) {
            case DONE -> backoffs.remove(hostId);
            case FAILED -> recordFailure(hostId, nowNanos);
            default -> {}
        }
    }

    private void recordFailure(String hostId, long nowNanos) {
        Backoff previous = backoffs.getOrDefault(hostId, new Backoff(0, nowNanos));
        int failures = previous.consecutiveFailures() + 1;
        long untilNanos = nowNanos;
        if (failures >= MIN_CONSECUTIVE_FAILURES) {
            int doublings = Math.min(failures - MIN_CONSECUTIVE_FAILURES, MAX_DOUBLINGS);
            untilNanos = nowNanos + (INITIAL_BACKOFF.toNanos() << doublings);
        }
        backoffs.put(hostId, new Backoff(failures, untilNanos));
    }

    /**
     * Tells whether a host gets nothing now.
     *
     * @param hostId the life of the host, not null
     * @param nowNanos the monotonic time
     * @return true while its pause lasts
     */
    public boolean isBackingOff(String hostId, long nowNanos) {
        Backoff backoff = backoffs.get(hostId);
        return backoff != null && nowNanos - backoff.untilNanos() < 0;
    }

    /**
     * Returns how much a host is to be avoided.
     *
     * @param hostId the life of the host, not null
     * @return the number of failures in a row, zero for a sound host
     */
    public int consecutiveFailures(String hostId) {
        Backoff backoff = backoffs.get(hostId);
        return backoff == null ? 0 : backoff.consecutiveFailures();
    }

    /**
     * Forgets a host.
     *
     * @param hostId the life of the host, not null
     */
    public void removeHost(String hostId) {
        backoffs.remove(hostId);
    }
}
