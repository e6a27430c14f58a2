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
 * The connection pool of one upstream.
 *
 * <p>Each connection carries one exchange at a time. When a connection that worked before becomes unresponsive, all
 * connections are replaced, because whatever lost track of one connection may have lost the others too. Thread-safe.
 */
public final class UpstreamPool {
    private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    private static final Duration IDLE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration MAXIMUM_EXCHANGE_TIME = Duration.ofHours(1);
    private static final int MAXIMUM_RESPONSE_HEAD_BYTES = 64 * 1024;

    private final Vertx vertx;
    private final UpstreamAddress address;
    private final int maximumConnections;

    /** Guards the replacement of {@link #client}. */
    private final ReentrantLock lock = new ReentrantLock();

    /** Holds the connections that new requests use. */
    private volatile HttpClientAgent client;

    /** The connections that carried a complete response. */
    private final Set<HttpConnection> respondedConnections = ConcurrentHashMap.newKeySet();

    UpstreamPool(Vertx vertx, UpstreamAddress address, int maximumConnections) {
        this.vertx = vertx;
        this.address = address;
        this.maximumConnections = maximumConnections;
        client = createClient();
    }

    /**
     * Returns the address of the upstream.
     *
     * @return the address, never null
     */
    public UpstreamAddress address() {
        return address;
    }

    /**
     * Creates a request on an idle connection, or opens a new connection.
     *
     * @param options the method, path and headers; the address and connect timeout are set here, not null
     * @return the request to send; a failure means that no byte was sent, never null
     */
    public Future<HttpClientRequest> request(RequestOptions options) {
        options.setHost(address.host()).setPort(address.port()).setConnectTimeout(CONNECT_TIMEOUT.toMillis());
        return client.request(options);
    }

    /**
     * Returns whether a connection carried a complete response.
     *
     * @param connection the connection, not null
     * @return true if the connection carried a complete response
     */
    public boolean hasResponded(HttpConnection connection) {
        return respondedConnections.contains(connection);
    }

    /**
     * Records that a connection carried a complete response.
     *
     * @param connection the connection, not null
     */
    public void markResponded(HttpConnection connection) {
        respondedConnections.add(connection);
    }

    /** Replaces all connections by new ones; an old connection closes when the exchange that it carries ends. */
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

    /** Closes each connection when the exchange that it carries ends. */
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
