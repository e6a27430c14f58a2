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
public final class LeaderWatch implements Readiness.Condition, AutoCloseable {
    /** How often the leader is asked. */
    private static final Duration INTERVAL = Duration.ofMillis(700);

    /** How long one check may take. */
    private static final Duration TIMEOUT = Duration.ofMillis(600);

    /** How old the last success may be: two checks may fail. */
    private static final Duration FRESH = Duration.ofSeconds(3);

    /** How long no leader has answered before requests are turned away at once: two checks have failed by then. */
    static final Duration LEADERLESS_AFTER = Duration.ofMillis(1_500);

    /** How often the leader is asked while none answers: requests are turned away until one does. */
    private static final Duration LEADERLESS_INTERVAL = Duration.ofMillis(150);

    private static final EventLogger LOG = EventLogger.of(LeaderWatch.class);

    /** The way to the leader. */
    private final WorkflowClient client;

    /** Clocks and timers. */
    private final TimeSource time;

    /** When the last success was, by the monotonic clock; far in the past before the first. */
    private final AtomicLong lastSuccessNanos;

    /** Whether the last thing logged was that the leader is reached. */
    private volatile boolean reached;

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
    public static LeaderWatch start(WorkflowClient client, TimeSource time) {
        LeaderWatch watch = new LeaderWatch(client, time);
        watch.check();
        return watch;
    }

    private LeaderWatch(WorkflowClient client, TimeSource time) {
        this.client = client;
        this.time = time;
        lastSuccessNanos = new AtomicLong(time.nanoTime() - FRESH.toNanos() - 1);
    }

    private void check() {
        if (closed) {
            return;
        }
        client.checkLeader(TIMEOUT).whenComplete((done, failure) -> {
            if (failure == null) {
                answered();
            } else {
                noteFailure(failure);
            }
            timer = time.schedule(isLeaderless() ? LEADERLESS_INTERVAL : INTERVAL, this::check);
        });
    }

    private void noteFailure(Throwable failure) {
        if (reached && !isFresh()) {
            reached = false;
            LOG.log(LeaderWatchEvent.LEADER_LOST, FRESH.toMillis(), String.valueOf(failure.getMessage()));
        }
    }

    /** Takes note that a leader has just answered, a check or another request. */
    void answered() {
        lastSuccessNanos.set(time.nanoTime());
        if (!reached) {
            reached = true;
            LOG.log(LeaderWatchEvent.LEADER_REACHED);
        }
    }

    /** Tells whether no leader has answered for so long that a request would wait in vain. */
    boolean isLeaderless() {
        return !isYoungerThan(LEADERLESS_AFTER);
    }

    private boolean isFresh() {
        return isYoungerThan(FRESH);
    }

    private boolean isYoungerThan(Duration age) {
        return time.nanoTime() - lastSuccessNanos.get() <= age.toNanos();
    }

    @Override
    public @Nullable String fault() {
        return isFresh() ? null : "no control leader was reached for " + FRESH.toMillis() + " ms";
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
