package org.nettlering.control.log;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;

/**
 * Confirms leadership for many callers at once.
 *
 * <p>A confirmation that began before a caller asked proves nothing for it, so callers that come while one is under way
 * share the next one. Thread-safe.
 */
public final class LeadershipConfirmations {
    /** Confirms each round. */
    private final CommandLog log;

    /** Guards the fields below. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Whether a round is under way. */
    private boolean underWay;

    /** The round that begins when the present one ends, or null if nobody waits. */
    private @Nullable CompletableFuture<Void> next;

    /**
     * Creates confirmations of the leadership of a log.
     *
     * @param log confirms each round, not null
     * @return a new instance, never null
     */
    public static LeadershipConfirmations of(CommandLog log) {
        return new LeadershipConfirmations(log);
    }

    private LeadershipConfirmations(CommandLog log) {
        this.log = log;
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
            if (underWay) {
                if (next == null) {
                    next = new CompletableFuture<>();
                }
                return next;
            }
            underWay = true;
            round = new CompletableFuture<>();
        } finally {
            lock.unlock();
        }
        begin(round);
        return round;
    }

    private void begin(CompletableFuture<Void> round) {
        log.confirmLeadership().whenComplete((done, failure) -> {
            CompletableFuture<Void> following = takeNext();
            if (failure == null) {
                round.complete(null);
            } else {
                round.completeExceptionally(failure);
            }
            if (following != null) {
                begin(following);
            }
        });
    }

    private @Nullable CompletableFuture<Void> takeNext() {
        lock.lock();
        try {
            CompletableFuture<Void> following = next;
            next = null;
            underWay = following != null;
            return following;
        } finally {
            lock.unlock();
        }
    }
}
