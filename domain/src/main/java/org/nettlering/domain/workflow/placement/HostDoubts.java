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
public final class HostDoubts {
    /** From this many failures in a row on, a host gets nothing for a while. */
    private static final int BAD_IN_A_ROW = 2;

    /** How long a host gets nothing at first. */
    private static final Duration FIRST_PAUSE = Duration.ofSeconds(4);

    /** How often the pause doubles at most. */
    private static final int MAX_DOUBLINGS = 3;

    /** The doubts by the id of the host's life. */
    private final Map<String, Doubt> doubts = new HashMap<>();

    /**
     * Creates a record without doubts.
     *
     * @return a new record, never null
     */
    public static HostDoubts none() {
        return new HostDoubts();
    }

    private HostDoubts() {}

    /** What is held against one host. */
    private record Doubt(int failuresInRow, long pausedUntilNanos) {}

    /**
     * Takes note of how a run ended.
     *
     * @param hostId the life of the host, not null
     * @param how how the run ended, not null
     * @param nowNanos the monotonic time
     */
    public void ended(String hostId, TerminalStatus how, long nowNanos) {
        switch (how) {
            case DONE -> doubts.remove(hostId);
            case FAILED -> fail(hostId, nowNanos);
            default -> {}
        }
    }

    private void fail(String hostId, long nowNanos) {
        Doubt known = doubts.getOrDefault(hostId, new Doubt(0, nowNanos));
        int failures = known.failuresInRow() + 1;
        long until = nowNanos;
        if (failures >= BAD_IN_A_ROW) {
            int doublings = Math.min(failures - BAD_IN_A_ROW, MAX_DOUBLINGS);
            until = nowNanos + (FIRST_PAUSE.toNanos() << doublings);
        }
        doubts.put(hostId, new Doubt(failures, until));
    }

    /**
     * Tells whether a host gets nothing now.
     *
     * @param hostId the life of the host, not null
     * @param nowNanos the monotonic time
     * @return true while its pause lasts
     */
    public boolean isPaused(String hostId, long nowNanos) {
        Doubt doubt = doubts.get(hostId);
        return doubt != null && nowNanos - doubt.pausedUntilNanos() < 0;
    }

    /**
     * Returns how much a host is to be avoided.
     *
     * @param hostId the life of the host, not null
     * @return the number of failures in a row, zero for a sound host
     */
    public int doubtOf(String hostId) {
        Doubt doubt = doubts.get(hostId);
        return doubt == null ? 0 : doubt.failuresInRow();
    }

    /**
     * Forgets a host.
     *
     * @param hostId the life of the host, not null
     */
    public void forget(String hostId) {
        doubts.remove(hostId);
    }
}
