package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.concurrent.CompletableFuture;

/**
 * Linearizable reads: each waits until a majority answers a round that began after the read arrived.
 *
 * <p>Reads that arrive while a round is under way share the next one. Not thread-safe.
 */
final class ReadIndexQueue {
    /** Collects the completions. */
    private final Outbox outbox;

    /** Reads that wait for a round, the earliest first. */
    private final List<Read> unconfirmed = new ArrayList<>();

    /** Reads that wait until their entry is applied. */
    private final List<Read> confirmed = new ArrayList<>();

    /** The latest round that was begun. */
    private long startedRound;

    /** The latest round that a majority answered. */
    private long confirmedRound;

    ReadIndexQueue(Outbox outbox) {
        this.outbox = outbox;
    }

    long startedRound() {
        return startedRound;
    }

    /** Begins a round at once, whatever is under way, and returns its number. */
    long startRound() {
        startedRound++;
        return startedRound;
    }

    /** Adds a read and tells whether a round began for it. */
    boolean add(long readIndex, CompletableFuture<Void> future) {
        unconfirmed.add(new Read(readIndex, startedRound + 1, future));
        return startNextRound();
    }

    private boolean startNextRound() {
        boolean idle = startedRound == confirmedRound;
        if (!idle || unconfirmed.isEmpty()) {
            return false;
        }
        startedRound++;
        return true;
    }

    /** Notes that a majority answered a round and tells whether the next one began. */
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

    /** Fails every read that no majority has confirmed. */
    void failUnconfirmed(RuntimeException failure) {
        unconfirmed.forEach(read -> outbox.runOutsideLock(() -> read.future().completeExceptionally(failure)));
        unconfirmed.clear();
    }

    /** Fails every read. */
    void failAll(RuntimeException failure) {
        failUnconfirmed(failure);
        confirmed.forEach(read -> outbox.runOutsideLock(() -> read.future().completeExceptionally(failure)));
        confirmed.clear();
    }

    private record Read(long index, long round, CompletableFuture<Void> future) {}
}
