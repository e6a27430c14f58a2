package org.nettlering.wire.transport.http;

import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.InetSocketAddress;
import java.net.SocketAddress;
import java.time.Duration;
import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.transport.WireEvent;
import org.nettlering.wire.transport.http.ConnectionGuard.Expendability;

/**
 * The connections of the clients of one HTTP server.
 *
 * <p>Guarantees that there are never more than the maximum: a new one takes the place of one that is
 * refused, unused or slow, or is closed if all are in use. Thread-safe.
 */
public final class ConnectionGuards {
    /** The largest head that is decoded; the operator's limit applies below it. In bytes. */
    private static final int MAX_HEAD_BYTES = 64 * 1024;

    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);

    private static final EventLogger LOG = EventLogger.of(ConnectionGuards.class);

    private final InputLimits limits;
    private final Supplier<RequestLimits> requestLimits;
    private final RequestMemory memory;
    private final TimeSource time;
    private final InputMetrics metrics;
    private final Set<ConnectionGuard> guards = ConcurrentHashMap.newKeySet();

    private final AcceptGate acceptGate = new AcceptGate();

    /** True while the timer of the next check is set, which is not so without connections. */
    private final AtomicBoolean checking = new AtomicBoolean();

    /**
     * Creates guards of a server without connections.
     *
     * @param limits what the clients together may make the process hold, not null
     * @param requestLimits returns the limits of single requests that are in force, not null
     * @param time the clock and timers, not null
     * @param metrics counts the refusals, not null
     * @return new guards, never null
     */
    public static ConnectionGuards of(
            InputLimits limits, Supplier<RequestLimits> requestLimits, TimeSource time, InputMetrics metrics) {
        return new ConnectionGuards(limits, requestLimits, time, metrics);
    }

    /**
     * Creates guards of a server for few clients that are not callers, such as one for metrics.
     *
     * @param time the clock and timers, not null
     * @return new guards, never null
     */
    public static ConnectionGuards ofFew(TimeSource time) {
        return of(InputLimits.FEW, () -> RequestLimits.DEFAULT, time, InputMetrics.unread());
    }

    private ConnectionGuards(
            InputLimits limits, Supplier<RequestLimits> requestLimits, TimeSource time, InputMetrics metrics) {
        this.limits = limits;
        this.requestLimits = requestLimits;
        this.time = time;
        this.metrics = metrics;
        memory = RequestMemory.of(limits.memoryBytes(), time);
        metrics.observe(memory, this);
    }

    /**
     * Returns the options of a server that can be guarded: HTTP/1.1 alone, as others are not limited.
     *
     * @param address the listen address, not null
     * @return new options, never null
     */
    public static HttpServerOptions options(InetSocketAddress address) {
        return new HttpServerOptions()
                .setHost(address.getHostString())
                .setPort(address.getPort())
                .setHttp2ClearTextEnabled(false)
                .setMaxHeaderSize(MAX_HEAD_BYTES)
                .setMaxInitialLineLength(MAX_HEAD_BYTES);
    }

    /**
     * Guards the connections of a server.
     *
     * @param server a server that does not listen yet and has no handler of connections, not null
     * @return the same server, never null
     */
    public HttpServer guard(HttpServer server) {
        return server.connectionHandler(this::add);
    }

    /**
     * Guards the connections of a server whose requests need no body, and passes them on once they are complete.
     *
     * @param server a server that does not listen yet and has no handlers, not null
     * @param handler responds to a request, not null
     * @return the same server, never null
     */
    public HttpServer serveWithoutBodies(HttpServer server, Consumer<HttpServerRequest> handler) {
        return guard(server).requestHandler(request -> {
            GuardedRequest guarded = GuardedRequest.begin(this, request);
            request.response().endHandler(end -> guarded.endResponse()).closeHandler(closed -> guarded.release());
            guarded.skipBody(() -> handler.accept(request), refused -> {
                var _ = request.connection().close();
            });
        });
    }

    /**
     * Returns the number of open connections.
     *
     * @return the number, at most the maximum
     */
    public int count() {
        return guards.size();
    }

    private void add(HttpConnection connection) {
        ConnectionGuard guard = ConnectionGuard.add(this, connection);
        limitConnections(guard);
        guard.passed(acceptGate);
    }

    private void limitConnections(ConnectionGuard guard) {
        if (guards.size() >= limits.maxConnections() && !closeMostExpendable()) {
            guard.refused(RefusalReason.TOO_MANY_CONNECTIONS);
            guard.close();
            return;
        }
        guards.add(guard);
        if (checking.compareAndSet(false, true)) {
            time.schedule(CHECK_INTERVAL, this::check);
        }
    }

    /** Closes the connection that is most expendable, of several the oldest; returns false if all are in use. */
    private boolean closeMostExpendable() {
        long nowNanos = time.nanoTime();
        Comparator<ConnectionGuard> order = Comparator.comparing(
                        (ConnectionGuard guard) -> guard.expendability(nowNanos))
                .thenComparing(guard -> guard.ageNanos(nowNanos), Comparator.reverseOrder());
        Optional<ConnectionGuard> closed = guards.stream()
                .min(order)
                .filter(guard -> guard.expendability(nowNanos) != Expendability.NOT_EXPENDABLE)
                .filter(guards::remove);
        closed.ifPresent(guard -> {
            guard.refused(RefusalReason.TOO_MANY_CONNECTIONS);
            guard.close();
        });
        return closed.isPresent();
    }

    private void check() {
        checking.set(false);
        long nowNanos = time.nanoTime();
        RequestLimits current = requestLimits();
        guards.forEach(guard -> guard.closeIfOverdue(current, limits.bodyTimeout(), nowNanos));
        if (!guards.isEmpty() && checking.compareAndSet(false, true)) {
            time.schedule(CHECK_INTERVAL, this::check);
        }
    }

    void remove(ConnectionGuard guard) {
        guards.remove(guard);
    }

    void countRefusal(RefusalReason reason) {
        metrics.count(reason);
    }

    void refused(RefusalReason reason, SocketAddress client) {
        countRefusal(reason);
        if (reason.isWorthALine()) {
            LOG.log(WireEvent.INPUT_REFUSED, client, reason);
        }
    }

    void schedule(Duration delay, Runnable task) {
        time.schedule(delay, task);
    }

    long nanoTime() {
        return time.nanoTime();
    }

    RequestMemory memory() {
        return memory;
    }

    RequestLimits requestLimits() {
        return requestLimits.get().withDefaults();
    }

    int maxBodyBytes() {
        return limits.maxBodyBytes();
    }
}
