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
 * is left out during a backoff period that doubles up to a bound. For the first {@link #EXCLUSION} of each period it receives no
 * runs at all; after that it may be tried with a task that no other host can take, which so never waits longer than that.
 * Runs that fail during the exclusion began before: a host that stands still for a moment fails all its runs at once, which says
 * no more than the first of them, and is used again as soon as one that failed a few.
 *
 * <p>The failures are forgotten on evidence that the host is sound: a run that was done there, or one that began after the last
 * failure and was at work for {@link #MIN_TIME_AT_WORK}.
 *
 * <p>A failure may be the fault of the task instead, and a task that always fails does so on every host. Therefore at
 * most half of the hosts of a pool are left out at once. Not thread-safe.
 */
public final class HostFailureBackoff {
    private static final int MIN_FAILURES_FOR_BACKOFF = 2;

    /** The first backoff period, and the part of each one in which nothing starts on the host. */
    static final Duration EXCLUSION = Duration.ofSeconds(4);

    /** How long a run is at work until its host is sound: longer than a host takes that fails each run after a while. */
    private static final Duration MIN_TIME_AT_WORK = EXCLUSION;

    private static final int MAX_DOUBLINGS = 3;

    /** At most one host in this many is left out. */
    private static final int MIN_HOSTS_PER_BACKOFF = 2;

    /** The hosts with failures since they were last shown to be sound, by incarnation id. */
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
     * The failures of one host. Times are by the monotonic clock.
     *
     * @param consecutiveFailures the failures since it was last shown to be sound
     * @param lastFailureNanos the time of the last one
     * @param periods the number of backoff periods since then
     * @param excludedUntilNanos the end of the exclusion in the latest period
     * @param untilNanos the end of the latest period
     */
    private record Backoff(
            int consecutiveFailures, long lastFailureNanos, int periods, long excludedUntilNanos, long untilNanos) {
        static Backoff none(long nowNanos) {
            return new Backoff(0, nowNanos, 0, nowNanos, nowNanos);
        }

        Backoff withFailure(long nowNanos) {
            return new Backoff(consecutiveFailures + 1, nowNanos, periods, excludedUntilNanos, untilNanos);
        }

        Backoff withNextPeriod() {
            int doublings = Math.min(periods, MAX_DOUBLINGS);
            return new Backoff(
                    consecutiveFailures,
                    lastFailureNanos,
                    periods + 1,
                    lastFailureNanos + EXCLUSION.toNanos(),
                    lastFailureNanos + (EXCLUSION.toNanos() << doublings));
        }
    }

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
        Backoff previous = backoffs.getOrDefault(hostId, Backoff.none(nowNanos));
        Backoff current = previous.withFailure(nowNanos);
        boolean beganBefore = nowNanos - previous.excludedUntilNanos() < 0;
        boolean startsPeriod = current.consecutiveFailures() >= MIN_FAILURES_FOR_BACKOFF && !beganBefore;
        backoffs.put(hostId, startsPeriod ? current.withNextPeriod() : current);
    }

    /**
     * Records that a run was reported at work. Tasks that last are never done, so that this alone shows their host to be sound.
     *
     * @param hostId the incarnation id of the host, not null
     * @param startNanos when the run was started, by the monotonic clock
     * @param atWorkNanos until when it is known to have been at work, by the monotonic clock
     */
    public void recordAtWork(String hostId, long startNanos, long atWorkNanos) {
        Backoff backoff = backoffs.get(hostId);
        if (backoff != null
                && startNanos - backoff.lastFailureNanos() >= 0
                && atWorkNanos - startNanos >= MIN_TIME_AT_WORK.toNanos()) {
            backoffs.remove(hostId);
        }
    }

    /**
     * Returns whether a host is left out now because of its failures.
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
     * Returns whether any host has a backoff period now.
     *
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if {@link #isBackingOff} is true of a host
     */
    public boolean isAnyBackingOff(long nowNanos) {
        return backoffs.values().stream().anyMatch(backoff -> nowNanos - backoff.untilNanos() < 0);
    }

    /**
     * Returns whether a host that is left out may be tried with a task that no other host can take.
     *
     * @param hostId the incarnation id of the host, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true once the exclusion in its backoff period is over
     */
    public boolean mayBeTried(String hostId, long nowNanos) {
        Backoff backoff = backoffs.get(hostId);
        return backoff == null || nowNanos - backoff.excludedUntilNanos() >= 0;
    }

    /**
     * Returns the hosts that are left out now: of those within their backoff period the ones with the most
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
     * Returns the number of failures since a host was last shown to be sound.
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
