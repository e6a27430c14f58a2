package org.nettlering.entry.workflow;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.lifecycle.Readiness;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.workflow.WorkflowClient;

/**
 * Monitors whether this entry reaches a control leader that has confirmed its leadership.
 *
 * <p>An entry that cannot reach a leader cannot accept jobs and reports itself as not ready. Thread-safe.
 */
public final class LeaderMonitor implements Readiness.Condition, AutoCloseable {
    /** The delay between checks. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(700);

    private static final Duration CHECK_TIMEOUT = Duration.ofMillis(600);

    /** The entry is not ready when the last response is older than this; two checks in a row may fail. */
    private static final Duration FRESHNESS_TIMEOUT = Duration.ofSeconds(3);

    /** Requests fail immediately when the last response is older than this; two checks have failed by then. */
    static final Duration LEADERLESS_TIMEOUT = Duration.ofMillis(1_500);

    /** The delay between checks while requests fail immediately; short, because it extends the outage. */
    private static final Duration LEADERLESS_CHECK_INTERVAL = Duration.ofMillis(150);

    private static final EventLogger LOG = EventLogger.of(LeaderMonitor.class);

    private final WorkflowClient client;
    private final TimeSource time;

    /** Monotonic time of the last response; initially older than {@link #FRESHNESS_TIMEOUT}. */
    private final AtomicLong lastSuccessNanos;

    /** True if the last logged event is {@link LeaderMonitorEvent#LEADER_REACHED}. */
    private volatile boolean leaderReached;

    /** The limits on requests that the leader named last. */
    private volatile RequestLimits limits = RequestLimits.DEFAULT;

    private volatile TimeSource.@Nullable Timer timer;
    private volatile boolean closed;

    /**
     * Creates a monitor and starts its checks.
     *
     * @param client the connection to the leader, not null
     * @param time the clock and timers, not null
     * @return the running monitor, never null
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
        callLeader().whenComplete((current, failure) -> {
            try {
                limits = failure == null ? current : limits;
                record(failure);
            } finally {
                timer = time.schedule(isLeaderless() ? LEADERLESS_CHECK_INTERVAL : CHECK_INTERVAL, this::check);
            }
        });
    }

    /** Checks the leader; an exception becomes a failed check, so that it does not end the checks. */
    private CompletionStage<RequestLimits> callLeader() {
        try {
            return client.checkLeader(CHECK_TIMEOUT);
        } catch (RuntimeException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private void record(@Nullable Throwable failure) {
        if (failure == null) {
            recordResponse();
        } else {
            recordFailure(failure);
        }
    }

    private void recordFailure(Throwable failure) {
        if (leaderReached && !isFresh()) {
            leaderReached = false;
            LOG.log(LeaderMonitorEvent.LEADER_LOST, FRESHNESS_TIMEOUT.toMillis(), String.valueOf(failure.getMessage()));
        }
    }

    /** Records that a leader has just responded, to a check or to another request. */
    void recordResponse() {
        lastSuccessNanos.set(time.nanoTime());
        if (!leaderReached) {
            leaderReached = true;
            LOG.log(LeaderMonitorEvent.LEADER_REACHED);
        }
    }

    /** Returns whether no leader has responded for {@link #LEADERLESS_TIMEOUT}. */
    boolean isLeaderless() {
        return !isYoungerThan(LEADERLESS_TIMEOUT);
    }

    /**
     * Returns the limits on requests of the operator's configuration.
     *
     * @return the limits that the leader named last, the default ones before, never null
     */
    public RequestLimits limits() {
        return limits;
    }

    private boolean isFresh() {
        return isYoungerThan(FRESHNESS_TIMEOUT);
    }

    private boolean isYoungerThan(Duration age) {
        return time.nanoTime() - lastSuccessNanos.get() <= age.toNanos();
    }

    @Override
    public @Nullable String unmetReason() {
        return isFresh() ? null : "no control leader has responded for " + FRESHNESS_TIMEOUT.toMillis() + " ms";
    }

    /** Stops the checks. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
