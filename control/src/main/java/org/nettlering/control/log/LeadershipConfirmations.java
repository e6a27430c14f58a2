package org.nettlering.control.log;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;

/**
 * Confirms leadership for many callers at once.
 *
 * <p>A confirmation that began before a caller asked proves nothing for it, so callers that come while one is under way
 * share the next one. Each confirmation exchanges messages with all members; a minimum interval between them keeps a stream
 * of callers from causing one after the other. A caller that comes after a longer pause does not wait. Thread-safe.
 */
public final class LeadershipConfirmations {
    /** Confirms each round. */
    private final CommandLog log;

    private final TimeSource time;

    /** The minimum time between the beginnings of two rounds. */
    private final Duration minInterval;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Whether a round is under way. */
    private boolean underWay;

    /** Whether a timer begins the next round. */
    private boolean scheduled;

    /** When the latest round began, by the monotonic clock. */
    private long beganNanos;

    /** The next round, or null if nobody waits. */
    private @Nullable CompletableFuture<Void> next;

    /**
     * Creates confirmations of the leadership of a log.
     *
     * @param log confirms each round, not null
     * @param time the clock and timers, not null
     * @param minInterval the minimum time between the beginnings of two rounds, zero for none, not null
     * @return a new instance, never null
     */
    public static LeadershipConfirmations of(CommandLog log, TimeSource time, Duration minInterval) {
        return new LeadershipConfirmations(log, time, minInterval);
    }

    private LeadershipConfirmations(CommandLog log, TimeSource time, Duration minInterval) {
        this.log = log;
        this.time = time;
        this.minInterval = minInterval;
        beganNanos = time.nanoTime() - minInterval.toNanos();
    }

    /**
     * Confirms the leadership.
     *
     * @return completes when a confirmation that began after this call succeeded; fails with {@code NOT_LEADER}, never null
     */
    public CompletionStage<Void> confirm() {
        CompletableFuture<Void> round;
        lock.lock();
        try {
            round = next == null ? new CompletableFuture<>() : next;
            next = round;
        } finally {
            lock.unlock();
        }
        beginIfDue();
        return round;
    }

    /** Begins the next round if somebody waits and none is under way; schedules it if it is too early. */
    private void beginIfDue() {
        CompletableFuture<Void> round;
        lock.lock();
        try {
            round = next;
            if (round == null || underWay || scheduled) {
                return;
            }
            long waitNanos = beganNanos + minInterval.toNanos() - time.nanoTime();
            if (waitNanos > 0) {
                scheduled = true;
                time.schedule(Duration.ofNanos(waitNanos), this::beginScheduled);
                return;
            }
            next = null;
            underWay = true;
            beganNanos = time.nanoTime();
        } finally {
            lock.unlock();
        }
        begin(round);
    }

    private void beginScheduled() {
        lock.lock();
        try {
            scheduled = false;
        } finally {
            lock.unlock();
        }
        beginIfDue();
    }

    private void begin(CompletableFuture<Void> round) {
        log.confirmLeadership().whenComplete((done, failure) -> {
            lock.lock();
            try {
                underWay = false;
            } finally {
                lock.unlock();
            }
            if (failure == null) {
                round.complete(null);
            } else {
                round.completeExceptionally(failure);
            }
            beginIfDue();
        });
    }
}
