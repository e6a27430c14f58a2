package org.nettlering.entry.upstreams;

import io.vertx.core.Vertx;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.domain.upstream.UpstreamAddress;

/** The connections of this entry to every upstream, one pool each. Thread-safe. */
public final class UpstreamPools {
    /** Connections of one pool at most; the slots of the admission control bound what is in use. */
    private static final int MAXIMUM_CONNECTIONS = 64;

    /** Creates the connections. */
    private final Vertx vertx;

    /** Guards the pools. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The pools by address. */
    private final Map<UpstreamAddress, UpstreamPool> pools = new HashMap<>();

    /**
     * Creates pools for no upstream yet.
     *
     * @param vertx creates the connections, not null
     * @return new pools, never null
     */
    public static UpstreamPools of(Vertx vertx) {
        return new UpstreamPools(vertx);
    }

    private UpstreamPools(Vertx vertx) {
        this.vertx = vertx;
    }

    /**
     * Returns the pool of an upstream.
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
     * Closes the pools of upstreams that are gone.
     *
     * @param known the upstreams that are still known, not null
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
