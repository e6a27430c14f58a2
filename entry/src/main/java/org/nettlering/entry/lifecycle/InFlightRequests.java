package org.nettlering.entry.lifecycle;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.locks.ReentrantLock;

/** Counts the requests in flight and signals when none is left. Thread-safe. */
public final class InFlightRequests {
    private final ReentrantLock lock = new ReentrantLock();
    private int count;

    /** Completed when the count falls to zero; {@link #whenIdle} replaces a completed one while requests are in flight. */
    private CompletableFuture<Void> idle = CompletableFuture.completedFuture(null);

    /**
     * Creates a counter at zero.
     *
     * @return a new counter, never null
     */
    public static InFlightRequests create() {
        return new InFlightRequests();
    }

    private InFlightRequests() {}

    /**
     * Returns the number of requests in flight.
     *
     * @return the number of requests
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
     * Returns a stage that completes when no request is in flight.
     *
     * @return the stage, already completed if no request is in flight, never null
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

    /** Counts a request that starts. */
    public void increment() {
        lock.lock();
        try {
            count++;
        } finally {
            lock.unlock();
        }
    }

    /** Counts a request that has ended; completes the stage of {@link #whenIdle} if it was the last. */
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
