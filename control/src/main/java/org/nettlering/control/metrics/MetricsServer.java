package org.nettlering.control.metrics;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.InetSocketAddress;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.wire.transport.http.ConnectionGuards;

/**
 * Serves {@code /metrics} and {@code /ready} of a control process.
 *
 * <p>Ready means that the member knows a leader. Thread-safe.
 */
public final class MetricsServer implements AutoCloseable {
    /** How long a start or a stop may take, in seconds. */
    private static final long TIMEOUT_SECONDS = 10;

    /** The HTTP library. */
    private final Vertx vertx;

    /** The server. */
    private final HttpServer server;

    /**
     * Starts a server.
     *
     * @param address where to listen, not null
     * @param metrics what to serve, not null
     * @param ready tells whether the member knows a leader, not null
     * @param time the clock and timers, not null
     * @return a server that listens, never null
     * @throws NettleringException {@code INVALID_SETTINGS} if the address cannot be bound
     */
    public static MetricsServer start(
            InetSocketAddress address, Metrics metrics, BooleanSupplier ready, TimeSource time) {
        Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(1).setWorkerPoolSize(1));
        HttpServerOptions options = ConnectionGuards.options(address);
        HttpServer server = ConnectionGuards.ofFew(time)
                .serveWithoutBodies(vertx.createHttpServer(options), request -> answer(request, metrics, ready));
        try {
            server.listen()
                    .toCompletionStage()
                    .toCompletableFuture()
                    .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .join();
        } catch (RuntimeException exception) {
            vertx.close();
            throw new NettleringException(
                    ErrorCode.INVALID_SETTINGS, "cannot listen for metrics at " + address, exception);
        }
        return new MetricsServer(vertx, server);
    }

    private MetricsServer(Vertx vertx, HttpServer server) {
        this.vertx = vertx;
        this.server = server;
    }

    /**
     * Returns the port that the server listens on.
     *
     * @return the port
     */
    public int port() {
        return server.actualPort();
    }

    /** Stops the server. */
    @Override
    public void close() {
        vertx.close()
                .toCompletionStage()
                .toCompletableFuture()
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
    }

    private static void answer(HttpServerRequest request, Metrics metrics, BooleanSupplier ready) {
        switch (request.path()) {
            case "/metrics" ->
                request.response()
                        .putHeader("Content-Type", Metrics.CONTENT_TYPE)
                        .end(metrics.scrape());
            case "/ready" -> answerReady(request, ready.getAsBoolean());
            default -> request.response().setStatusCode(404).end("not found: " + request.path() + "\n");
        }
    }

    private static void answerReady(HttpServerRequest request, boolean ready) {
        request.response().setStatusCode(ready ? 200 : 503).end(ready ? "ready\n" : "no leader is known\n");
    }
}
