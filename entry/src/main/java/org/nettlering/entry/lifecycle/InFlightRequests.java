package org.nettlering.entry.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests in flight and tells when the last one has ended. Thread-safe. */
public final class InFlightRequests {
    /** Guards the count. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The requests in flight. */
    private int count;

    /** Completed when the count falls to zero; replaced by each call that waits. */
    private CompletableFuture<Void> idle = CompletableFuture.completedFuture(null);

    /**
     * Creates a count of zero.
     *
     * @return a new count, never null
     */
    public static InFlightRequests create() {
        return new InFlightRequests();
    }

    private InFlightRequests() {}

    /**
     * Returns the count.
     *
     * @return how many requests are in flight
     */
    public int count() {
        lock.lock();
        try {
            return count;
        } finally {
            lock.unlock();
        }
    }

    /**
     * Waits until no request is in flight.
     *
     * @return completes then, never null
     */
    public CompletionStage<Void> whenIdle() {
        lock.lock();
        try {
            if (count > 0 && idle.isDone()) {
                idle = new CompletableFuture<>();
            }
            return idle;
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request that begins. */
    public void increment() {
        lock.lock();
        try {
            count++;
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request that has ended. */
    public void decrement() {
        CompletableFuture<Void> completed = null;
        lock.lock();
        try {
            count--;
            if (count == 0) {
                completed = idle;
            }
        } finally {
            lock.unlock();
        }
        if (completed != null) {
            completed.complete(null);
        }
    }
}
