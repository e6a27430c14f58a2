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
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MAXIMUM_EXCHANGE_TIME = Duration.ofHours(1);
    private static final int MAXIMUM_RESPONSE_HEAD_BYTES = 64 * 1024;

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
    private final Set<HttpConnection> respondedConnections = ConcurrentHashMap.newKeySet();

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
    public boolean hasResponded(HttpConnection connection) {
        return respondedConnections.contains(connection);
    }

    /**
     * Notes that a connection has carried an answer.
     *
     * @param connection the connection, not null
     */
    public void markResponded(HttpConnection connection) {
        respondedConnections.add(connection);
    }

    /** Uses new connections from now on; the old ones end with the exchanges that they carry. */
    public void replaceConnections() {
        HttpClientAgent newClient = createClient();
        HttpClientAgent oldClient;
        lock.lock();
        try {
            oldClient = client;
            client = newClient;
        } finally {
            lock.unlock();
        }
        oldClient.shutdown(MAXIMUM_EXCHANGE_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Closes the connections when the exchanges that they carry have ended. */
    public void close() {
        client.shutdown(MAXIMUM_EXCHANGE_TIME.toMillis(), TimeUnit.MILLISECONDS);
    }

    private HttpClientAgent createClient() {
        HttpClientOptions options = new HttpClientOptions()
                .setKeepAlive(true)
                .setKeepAliveTimeout((int) IDLE_TIMEOUT.toSeconds())
                .setConnectTimeout((int) CONNECT_TIMEOUT.toMillis())
                .setMaxHeaderSize(MAXIMUM_RESPONSE_HEAD_BYTES)
                .setDecompressionSupported(false)
                .setTcpNoDelay(true);
        PoolOptions poolOptions = new PoolOptions().setHttp1MaxSize(maximumConnections);
        return vertx.httpClientBuilder()
                .with(options)
                .with(poolOptions)
                .withConnectHandler(
                        connection -> connection.closeHandler(nothing -> respondedConnections.remove(connection)))
                .build();
    }
}
