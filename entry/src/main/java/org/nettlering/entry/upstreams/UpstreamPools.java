package org.nettlering.entry.upstreams;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.domain.upstream.UpstreamAddress;

/** The connection pools of all upstreams. Thread-safe. */
public final class UpstreamPools {
    /** Limit per pool; the slots that admission control grants bound how many connections are in use. */
    private static final int MAXIMUM_CONNECTIONS = 64;

    private final Vertx vertx;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<UpstreamAddress, UpstreamPool> pools = new HashMap<>();

    /**
     * Creates an empty set of pools.
     *
     * @param vertx creates the HTTP clients, not null
     * @return new pools, never null
     */
    public static UpstreamPools of(Vertx vertx) {
        return new UpstreamPools(vertx);
    }

    private UpstreamPools(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Returns the pool of an upstream, created on first use.
     *
     * @param address the upstream, not null
     * @return the pool, never null
     */
    public UpstreamPool pool(UpstreamAddress address) {
        lock.lock();
        try {
            return pools.computeIfAbsent(address, key -> new UpstreamPool(vertx, key, MAXIMUM_CONNECTIONS));
        } finally {
            lock.unlock();
        }
    }

    /**
     * Closes the pools of upstreams that are no longer known.
     *
     * @param known the upstreams whose pools are retained, not null
     */
    public void retain(Collection<UpstreamAddress> known) {
        Set<UpstreamPool> unused = new HashSet<>();
        lock.lock();
        try {
            pools.entrySet().removeIf(entry -> !known.contains(entry.getKey()) && unused.add(entry.getValue()));
        } finally {
            lock.unlock();
        }
        unused.forEach(UpstreamPool::close);
    }
}
