package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Linearizable reads by read index: a read is confirmed once a majority acknowledges a heartbeat round started after it.
 *
 * <p>Reads that arrive during a round share the next one. Not thread-safe.
 */
final class ReadIndexQueue {
    private final Outbox outbox;

    /** Reads that wait for a majority to acknowledge their round, the earliest first. */
    private final List<Read> unconfirmed = new ArrayList<>();

    /** Confirmed reads that wait until the state machine has applied their read index. */
    private final List<Read> confirmed = new ArrayList<>();

    /** The latest round that was started. */
    private long startedRound;

    /** The latest round that a majority acknowledged. */
    private long confirmedRound;

    ReadIndexQueue(Outbox outbox) {
        this.outbox = outbox;
    }

    long startedRound() {
        return startedRound;
    }

    /** Starts a round even if another one is in progress; returns its number. The caller sends the heartbeats. */
    long startRound() {
        startedRound++;
        return startedRound;
    }

    /** Adds a read; returns whether a round was started for it, whose heartbeats the caller must send. */
    boolean add(long readIndex, CompletableFuture<Void> future) {
        unconfirmed.add(new Read(readIndex, startedRound + 1, future));
        return startNextRound();
    }

    /** Starts a round if reads wait and none is in progress. */
    private boolean startNextRound() {
        boolean idle = startedRound == confirmedRound;
        if (!idle || unconfirmed.isEmpty()) {
            return false;
        }
        startedRound++;
        return true;
    }

    /**
     * Confirms the reads of all rounds up to one that a majority acknowledged; returns whether the next round was started,
     * whose heartbeats the caller must send.
     */
    boolean confirmRound(long round, long appliedIndex) {
        if (round <= confirmedRound) {
            return false;
        }
        confirmedRound = round;
        while (!unconfirmed.isEmpty() && unconfirmed.getFirst().round() <= round) {
            confirmed.add(unconfirmed.removeFirst());
        }
        onApplied(appliedIndex);
        return startNextRound();
    }

    /** Completes the confirmed reads whose read index has been applied. */
    void onApplied(long appliedIndex) {
        Iterator<Read> reads = confirmed.iterator();
        while (reads.hasNext()) {
            Read read = reads.next();
            if (read.index() <= appliedIndex) {
                reads.remove();
                outbox.runOutsideLock(() -> read.future().complete(null));
            }
        }
    }

    /** Fails the reads that are not confirmed. Confirmed ones stay valid, also after the leadership is lost. */
    void failUnconfirmed(RuntimeException failure) {
        unconfirmed.forEach(read -> outbox.runOutsideLock(() -> read.future().completeExceptionally(failure)));
        unconfirmed.clear();
    }

    void failAll(RuntimeException failure) {
        failUnconfirmed(failure);
        confirmed.forEach(read -> outbox.runOutsideLock(() -> read.future().completeExceptionally(failure)));
        confirmed.clear();
    }

    /** A read at a read index, confirmed by the acknowledgement of the given round or a later one. */
    private record Read(long index, long round, CompletableFuture<Void> future) {}
}
