package org.nettlering.entry.callers;

import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.net.InetSocketAddress;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntConsumer;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.entry.EntryEvent;
import org.nettlering.runtime.log.EventLogger;

/**
 * The HTTP server for callers, HTTP/1.1 and HTTP/2 in clear text.
 *
 * <p>One instance is deployed for each event loop that serves callers.
 */
public final class CallerServer extends VerticleBase {
    private static final EventLogger LOGGER = EventLogger.of(CallerServer.class);
    private static final int SHARED_RANDOM_PORT = -1;
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

    private final CallerServices services;
    private final InetSocketAddress address;

    /** Timers of the open connections; accessed on the context of the server only. */
    private final Map<HttpConnection, ConnectionIdleTimer> idleTimers = new HashMap<>();

    private final IntConsumer onListening;

    /**
     * Creates a server that does not listen yet.
     *
     * @param services the dependencies of request handling, not null
     * @param address the address to listen on; port 0 selects a free port, not null
     * @param onListening called with the bound port once the server listens, not null
     */
    public CallerServer(CallerServices services, InetSocketAddress address, IntConsumer onListening) {
        this.services = services;
        this.address = address;
        this.onListening = onListening;
    }

    @Override
    public Future<?> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(address.getAddress().getHostAddress())
                .setPort(address.getPort() == 0 ? SHARED_RANDOM_PORT : address.getPort())
                .setMaxHeaderSize(services.limits().maxHeadBytes())
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setTcpNoDelay(true);
        HttpServer server = vertx.createHttpServer(options)
                .connectionHandler(this::startIdleTimer)
                .invalidRequestHandler(this::rejectInvalid)
                .requestHandler(this::handle);
        return server.listen().onSuccess(bound -> onListening.accept(bound.actualPort()));
    }

    private void handle(HttpServerRequest request) {
        Context currentContext = Vertx.currentContext();
        Context requestContext = currentContext == null ? context : currentContext;
        ConnectionIdleTimer idleTimer = idleTimers.get(request.connection());
        if (idleTimer != null) {
            idleTimer.requestStarted();
            request.response().endHandler(nothing -> idleTimer.requestEnded());
        }
        startExchange(request, requestContext);
    }

    /** Closes the caller's connection if the exchange fails to start, so that the caller does not wait for a response. */
    private void startExchange(HttpServerRequest request, Context requestContext) {
        try {
            new CallerExchange(services, request, requestContext).start();
        } catch (RuntimeException fault) {
            LOGGER.log(EntryEvent.INTERNAL_ERROR, fault);
            var _ = request.connection().close();
        }
    }

    private void startIdleTimer(HttpConnection connection) {
        ConnectionIdleTimer idleTimer = new ConnectionIdleTimer(connection, services, context);
        idleTimers.put(connection, idleTimer);
        connection.closeHandler(nothing -> {
            idleTimer.stop();
            idleTimers.remove(connection);
        });
        idleTimer.start();
    }

    private void rejectInvalid(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        services.metrics().invalidInput(tooLong ? "head_too_large" : "malformed_head");
        LOGGER.log(EntryEvent.MALFORMED_REQUEST_REJECTED, request.remoteAddress(), String.valueOf(cause));
        ErrorResponse response = tooLong
                ? ErrorResponse.notRun(ErrorCode.TOO_LARGE, "the request head is too large")
                : ErrorResponse.notRun(ErrorCode.INVALID_ARGUMENT, "the request head is malformed");
        response.write(request.response(), true)
                .onComplete(written -> request.connection().close());
    }
}
