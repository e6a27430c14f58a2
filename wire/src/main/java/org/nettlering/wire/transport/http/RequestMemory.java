package org.nettlering.wire.transport.http;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;

/**
 * The memory that all requests of a process may take together.
 *
 * <p>Guarantees that the shares never exceed it. A quarter is for small requests alone, so that large ones do not shut them
 * out. When it is used up, requests that are received too slowly give way, the slowest first. Thread-safe; calls nobody
 * while it holds its lock.
 */
public final class RequestMemory {
    /** A request that takes no more than this is small, in bytes. */
    private static final long SMALL_BYTES = 16 * 1024;

    /** One part in so many is for small requests alone. */
    private static final long SMALL_PART = 4;

    /** Younger requests do not give way. */
    private static final Duration MIN_AGE = Duration.ofSeconds(1);

    /** A request that is received faster does not give way, in bytes a second. */
    private static final long MIN_BYTES_PER_SECOND = 8 * 1024;

    private final ReentrantLock lock = new ReentrantLock();
    private final long maxBytes;
    private final TimeSource time;

    /** The shares of requests that are being received, the oldest first. */
    private final Set<Share> receiving = new LinkedHashSet<>();

    private long usedBytes;

    /**
     * Creates a memory of which nothing is used.
     *
     * @param maxBytes the maximum of all shares together, in bytes
     * @param time the clock, not null
     * @return a new memory, never null
     */
    public static RequestMemory of(long maxBytes, TimeSource time) {
        return new RequestMemory(maxBytes, time);
    }

    private RequestMemory(long maxBytes, TimeSource time) {
        this.maxBytes = maxBytes;
        this.time = time;
    }

    /**
     * Opens an empty share for a request that is being received.
     *
     * @param giveWay called at most once, on any thread, when the request has lost its share as it was too slow, not null
     * @return a new share, never null
     */
    public Share open(Runnable giveWay) {
        Share share = new Share(giveWay, time.nanoTime());
        lock.lock();
        try {
            receiving.add(share);
        } finally {
            lock.unlock();
        }
        return share;
    }

    /**
     * Returns the memory that all requests take.
     *
     * @return the sum of the shares, in bytes
     */
    public long usedBytes() {
        lock.lock();
        try {
            return usedBytes;
        } finally {
            lock.unlock();
        }
    }

    private @Nullable Share slowestBut(Share requester, long nowNanos) {
        Share slowest = null;
        for (Share share : receiving) {
            if (share != requester
                    && share.bytes > 0
                    && share.isSlow(nowNanos)
                    && (slowest == null || share.bytesPerSecond(nowNanos) < slowest.bytesPerSecond(nowNanos))) {
                slowest = share;
            }
        }
        return slowest;
    }

    /** The memory of one request. Thread-safe. */
    public final class Share implements AutoCloseable {
        private final Runnable giveWay;
        private final long openedNanos;
        private long bytes;
        private long receivedBytes;
        private boolean open = true;

        private Share(Runnable giveWay, long openedNanos) {
            this.giveWay = giveWay;
            this.openedNanos = openedNanos;
        }

        /**
         * Changes the size of the share.
         *
         * @param newBytes the memory that the request takes from now on, in bytes
         * @return false if there is no memory for it or the share is closed; then the share is as before
         */
        public boolean resize(long newBytes) {
            List<Runnable> gaveWay = new ArrayList<>();
            boolean fits;
            lock.lock();
            try {
                fits = open && (newBytes <= bytes || makeRoom(newBytes, gaveWay));
                if (fits) {
                    usedBytes += newBytes - bytes;
                    bytes = newBytes;
                }
            } finally {
                lock.unlock();
            }
            gaveWay.forEach(Runnable::run);
            return fits;
        }

        private boolean makeRoom(long newBytes, List<Runnable> gaveWay) {
            long limit = newBytes > SMALL_BYTES ? maxBytes - maxBytes / SMALL_PART : maxBytes;
            long nowNanos = time.nanoTime();
            while (usedBytes + newBytes - bytes > limit) {
                Share slowest = slowestBut(this, nowNanos);
                if (slowest == null) {
                    return false;
                }
                slowest.remove();
                gaveWay.add(slowest.giveWay);
            }
            return true;
        }

        /**
         * Notes bytes that have arrived, from which the speed follows.
         *
         * @param count the number of bytes
         */
        public void received(int count) {
            lock.lock();
            try {
                receivedBytes += count;
            } finally {
                lock.unlock();
            }
        }

        /** Notes that the request was received as a whole; from now on it does not give way to others. */
        public void complete() {
            lock.lock();
            try {
                receiving.remove(this);
            } finally {
                lock.unlock();
            }
        }

        /** Gives the memory back. Has no effect on a closed share. */
        @Override
        public void close() {
            lock.lock();
            try {
                remove();
            } finally {
                lock.unlock();
            }
        }

        private void remove() {
            if (open) {
                open = false;
                receiving.remove(this);
                usedBytes -= bytes;
                bytes = 0;
            }
        }

        private boolean isSlow(long nowNanos) {
            return nowNanos - openedNanos > MIN_AGE.toNanos() && bytesPerSecond(nowNanos) < MIN_BYTES_PER_SECOND;
        }

        private double bytesPerSecond(long nowNanos) {
            return receivedBytes * (double) Duration.ofSeconds(1).toNanos() / Math.max(1, nowNanos - openedNanos);
        }
    }
}
