package org.nettlering.entry.workflow;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.lifecycle.Readiness;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.workflow.WorkflowClient;

/**
 * Knows whether this entry has reached a confirmed leader lately.
 *
 * <p>An entry that has not cannot take jobs and reports itself unready. Thread-safe.
 */
public final class LeaderMonitor implements Readiness.Condition, AutoCloseable {
    /** How often the leader is asked. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(700);

    /** How long one check may take. */
    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(600);

    /** How old the last success may be: two checks may fail. */
    private static final Duration FRESHNESS_TIMEOUT = Duration.ofSeconds(3);

    /** How long no leader has answered before requests are turned away at once: two checks have failed by then. */
    static final Duration LEADERLESS_TIMEOUT = Duration.ofMillis(1_500);

    /** How often the leader is asked while none answers: requests are turned away until one does. */
    private static final Duration LEADERLESS_CHECK_INTERVAL = Duration.ofMillis(150);

    private static final EventLogger LOG = EventLogger.of(LeaderMonitor.class);

    /** The way to the leader. */
    private final WorkflowClient client;

    /** Clocks and timers. */
    private final TimeSource time;

    /** When the last success was, by the monotonic clock; far in the past before the first. */
    private final AtomicLong lastSuccessNanos;

    /** Whether the last thing logged was that the leader is reached. */
    private volatile boolean leaderReached;

    /** The next check. */
    private volatile TimeSource.@Nullable Timer timer;

    /** Whether the checks have ended. */
    private volatile boolean closed;

    /**
     * Starts checking.
     *
     * @param client the way to the leader, not null
     * @param time clocks and timers, not null
     * @return the running checks, never null
     */
    public static LeaderMonitor start(WorkflowClient client, TimeSource time) {
        LeaderMonitor monitor = new LeaderMonitor(client, time);
        monitor.check();
        return monitor;
    }

    private LeaderMonitor(WorkflowClient client, TimeSource time) {
        this.client = client;
        this.time = time;
        lastSuccessNanos = new AtomicLong(time.nanoTime() - FRESHNESS_TIMEOUT.toNanos() - 1);
    }

    private void check() {
        if (closed) {
            return;
        }
        client.checkLeader(CHECK_TIMEOUT).whenComplete((done, failure) -> {
            if (failure == null) {
                recordResponse();
            } else {
                recordFailure(failure);
            }
            timer = time.schedule(isLeaderless() ? LEADERLESS_CHECK_INTERVAL : CHECK_INTERVAL, this::check);
        });
    }

    private void recordFailure(Throwable failure) {
        if (leaderReached && !isFresh()) {
            leaderReached = false;
            LOG.log(LeaderMonitorEvent.LEADER_LOST, FRESHNESS_TIMEOUT.toMillis(), String.valueOf(failure.getMessage()));
        }
    }

    /** Takes note that a leader has just answered, a check or another request. */
    void recordResponse() {
        lastSuccessNanos.set(time.nanoTime());
        if (!leaderReached) {
            leaderReached = true;
            LOG.log(LeaderMonitorEvent.LEADER_REACHED);
        }
    }

    /** Tells whether no leader has answered for so long that a request would wait in vain. */
    boolean isLeaderless() {
        return !isYoungerThan(LEADERLESS_TIMEOUT);
    }

    private boolean isFresh() {
        return isYoungerThan(FRESHNESS_TIMEOUT);
    }

    private boolean isYoungerThan(Duration age) {
        return time.nanoTime() - lastSuccessNanos.get() <= age.toNanos();
    }

    @Override
    public @Nullable String unmetReason() {
        return isFresh() ? null : "no control leader was reached for " + FRESHNESS_TIMEOUT.toMillis() + " ms";
    }

    /** Ends the checks. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
