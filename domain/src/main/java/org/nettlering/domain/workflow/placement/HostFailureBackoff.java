package org.nettlering.domain.workflow.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.nettlering.domain.workflow.TerminalStatus;

/**
 * Backoff for hosts on which runs fail repeatedly.
 *
 * <p>Answers the load in which a host that looks healthy fails every run: it always has free capacity and would attract
 * more runs. Each consecutive failure therefore ranks a host behind hosts with fewer failures. From the second one on, the host
 * receives no runs during a backoff period that doubles up to a bound.
 * Runs that fail during it began before: a host that stands still for a moment fails all its runs at once, which says no
 * more than the first of them, and is used again as soon as one that failed a few.
 *
 * <p>A failure may be the fault of the task instead, and a task that always fails does so on every host. Therefore at
 * most half of the hosts of a pool are left out at once. Not thread-safe.
 */
public final class HostFailureBackoff {
    private static final int MIN_FAILURES_FOR_BACKOFF = 2;

    private static final Duration INITIAL_BACKOFF = Duration.ofSeconds(4);

    private static final int MAX_DOUBLINGS = 3;

    /** At most one host in this many is left out. */
    private static final int MIN_HOSTS_PER_BACKOFF = 2;

    /** The hosts with failures since their last completed run, by incarnation id. */
    private final Map<String, Backoff> backoffs = new HashMap<>();

    /**
     * Creates a backoff without recorded failures.
     *
     * @return a new backoff, never null
     */
    public static HostFailureBackoff create() {
        return new HostFailureBackoff();
    }

    private HostFailureBackoff() {}

    /**
     * The failures of one host.
     *
     * @param consecutiveFailures the failures since its last completed run
     * @param periods the number of backoff periods since then
     * @param untilNanos the end of the latest period, by the monotonic clock
     */
    private record Backoff(int consecutiveFailures, int periods, long untilNanos) {}

    /**
     * Records the termination of a run.
     *
     * <p>A completed run resets the failures of its host. Other statuses than {@code DONE} and {@code FAILED} are
     * ignored.
     *
     * @param hostId the incarnation id of the host, not null
     * @param status the terminal status of the run, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void recordTermination(String hostId, TerminalStatus status, long nowNanos) {
        switch (status) {
            case DONE -> backoffs.remove(hostId);
            case FAILED -> recordFailure(hostId, nowNanos);
            default -> {}
        }
    }

    private void recordFailure(String hostId, long nowNanos) {
        Backoff previous = backoffs.getOrDefault(hostId, new Backoff(0, 0, nowNanos));
        int failures = previous.consecutiveFailures() + 1;
        if (failures < MIN_FAILURES_FOR_BACKOFF || nowNanos - previous.untilNanos() < 0) {
            backoffs.put(hostId, new Backoff(failures, previous.periods(), previous.untilNanos()));
            return;
        }
        int doublings = Math.min(previous.periods(), MAX_DOUBLINGS);
        long untilNanos = nowNanos + (INITIAL_BACKOFF.toNanos() << doublings);
        backoffs.put(hostId, new Backoff(failures, previous.periods() + 1, untilNanos));
    }

    /**
     * Returns whether a host receives no runs now because of its failures.
     *
     * @param hostId the incarnation id of the host, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true during its backoff period
     */
    public boolean isBackingOff(String hostId, long nowNanos) {
        Backoff backoff = backoffs.get(hostId);
        return backoff != null && nowNanos - backoff.untilNanos() < 0;
    }

    /**
     * Returns the hosts that receive no runs now: of those within their backoff period the ones with the most
     * consecutive failures, at most half of the given hosts.
     *
     * @param poolHostIds the incarnation ids of all hosts of a pool that could receive runs, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return the incarnation ids of the hosts to leave out, never null
     */
    public Set<String> backingOff(Collection<String> poolHostIds, long nowNanos) {
        if (backoffs.isEmpty()) {
            return Set.of();
        }
        return poolHostIds.stream()
                .filter(hostId -> isBackingOff(hostId, nowNanos))
                .sorted(Comparator.comparingInt(this::consecutiveFailures).reversed())
                .limit(poolHostIds.size() / MIN_HOSTS_PER_BACKOFF)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Returns the number of failures since the last completed run on a host.
     *
     * @param hostId the incarnation id of the host, not null
     * @return the number of consecutive failures, zero if there are none
     */
    public int consecutiveFailures(String hostId) {
        Backoff backoff = backoffs.get(hostId);
        return backoff == null ? 0 : backoff.consecutiveFailures();
    }

    /**
     * Removes the failures of a host.
     *
     * @param hostId the incarnation id of the host, not null
     */
    public void removeHost(String hostId) {
        backoffs.remove(hostId);
    }
}
