package org.nettlering.entry.upstreams;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClientAgent;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.time.Duration;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.ReentrantLock;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * The connections of this entry to one upstream.
 *
 * <p>Each carries one exchange at a time. When a connection that has worked before goes silent, all of them are replaced:
 * whatever lost track of one may have lost the others too. Thread-safe.
 */
public final class UpstreamPool {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration UNUSED_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration LONGEST_EXCHANGE = Duration.ofHours(1);
    private static final int RECEIVE_HEAD_BYTES = 64 * 1024;

    /** Creates the connections. */
    private final Vertx vertx;

    /** The upstream. */
    private final UpstreamAddress address;

    /** How many connections the pool opens at most. */
    private final int maximumConnections;

    /** Guards the replacement of the connections. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The connections in use. */
    private volatile HttpClientAgent client;

    /** The connections that have carried an answer. */
    private final Set<HttpConnection> proven = ConcurrentHashMap.newKeySet();

    UpstreamPool(Vertx vertx, UpstreamAddress address, int maximumConnections) {
        this.vertx = vertx;
        this.address = address;
        this.maximumConnections = maximumConnections;
        client = createClient();
    }

    /**
     * Returns the upstream.
     *
     * @return the address, never null
     */
    public UpstreamAddress address() {
        return address;
    }

    /**
     * Takes a free connection, or opens one.
     *
     * @param options the method, the path and the like, not null
     * @return the request to fill in; a failure means that no byte was sent, never null
     */
    public Future<HttpClientRequest> request(RequestOptions options) {
        options.setHost(address.host()).setPort(address.port()).setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        return client.request(options);
    }

    /**
     * Tells whether a connection has carried an answer.
     *
     * @param connection the connection, not null
     * @return true when it has worked before
     */
    public boolean isProven(HttpConnection connection) {
        return proven.contains(connection);
    }

    /**
     * Notes that a connection has carried an answer.
     *
     * @param connection the connection, not null
     */
    public void prove(HttpConnection connection) {
        proven.add(connection);
    }

    /** Uses new connections from now on; the old ones end with the exchanges that they carry. */
    public void replaceConnections() {
        HttpClientAgent fresh = createClient();
        HttpClientAgent old;
        lock.lock();
        try {
            old = client;
            client = fresh;
        } finally {
            lock.unlock();
        }
        old.shutdown(LONGEST_EXCHANGE.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the connections when the exchanges that they carry have ended. */
    public void close() {
        client.shutdown(LONGEST_EXCHANGE.toMillis(), TimeUnit.MILLISECONDS);
    }

    private HttpClientAgent createClient() {
        HttpClientOptions options = new HttpClientOptions()
                .setKeepAlive(true)
                .setKeepAliveTimeout((int) UNUSED_TIMEOUT.toSeconds())
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setMaxHeaderSize(RECEIVE_HEAD_BYTES)
                .setDecompressionSupported(false)
                .setTcpNoDelay(true);
        PoolOptions pool = new PoolOptions().setHttp1MaxSize(maximumConnections);
        return vertx.httpClientBuilder()
                .with(options)
                .with(pool)
                .withConnectHandler(connection -> connection.closeHandler(nothing -> proven.remove(connection)))
                .build();
    }
}
