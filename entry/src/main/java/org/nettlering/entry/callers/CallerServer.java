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
 * <p>Deployed several times, once for each event loop that serves callers.
 */
public final class CallerServer extends VerticleBase {
    private static final EventLogger LOGGER = EventLogger.of(CallerServer.class);
    private static final int SHARED_RANDOM_PORT = -1;
    private static final int MAXIMUM_LINE_BYTES = 8 * 1024;

    /** What the handling needs. */
    private final CallerServices services;

    /** Where to listen. */
    private final InetSocketAddress address;

    /** The open connections; used on the server's own context only. */
    private final Map<HttpConnection, ConnectionWatch> watches = new HashMap<>();

    /** Told the port once the server listens. */
    private final IntConsumer listening;

    /**
     * Creates a server that does not listen yet.
     *
     * @param services what the handling needs, not null
     * @param address where to listen, not null
     * @param listening told the port once the server listens, not null
     */
    public CallerServer(CallerServices services, InetSocketAddress address, IntConsumer listening) {
        this.services = services;
        this.address = address;
        this.listening = listening;
    }

    @Override
    public Future<?> start() {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(address.getAddress().getHostAddress())
                .setPort(address.getPort() == 0 ? SHARED_RANDOM_PORT : address.getPort())
                .setMaxHeaderSize(services.limits().headBytes())
                .setMaxInitialLineLength(MAXIMUM_LINE_BYTES)
                .setHttp2ClearTextEnabled(false)
                .setHandle100ContinueAutomatically(true)
                .setTcpNoDelay(true);
        HttpServer server = vertx.createHttpServer(options)
                .connectionHandler(this::watch)
                .invalidRequestHandler(this::refuseInvalid)
                .requestHandler(this::handle);
        return server.listen().onSuccess(bound -> listening.accept(bound.actualPort()));
    }

    private void handle(HttpServerRequest request) {
        Context current = Vertx.currentContext();
        Context requestContext = current == null ? context : current;
        ConnectionWatch watch = watches.get(request.connection());
        if (watch != null) {
            watch.requestBegins();
            request.response().endHandler(nothing -> watch.requestEnds());
        }
        startExchange(request, requestContext);
    }

    /** Ends the caller's connection when the exchange cannot even begin, so that nobody waits for an answer. */
    private void startExchange(HttpServerRequest request, Context requestContext) {
        try {
            new CallerExchange(services, request, requestContext).start();
        } catch (RuntimeException fault) {
            LOGGER.log(EntryEvent.INTERNAL_FAULT, fault);
            var _ = request.connection().close();
        }
    }

    private void watch(HttpConnection connection) {
        ConnectionWatch watch = new ConnectionWatch(connection, services, context);
        watches.put(connection, watch);
        connection.closeHandler(nothing -> {
            watch.stop();
            watches.remove(connection);
        });
        watch.start();
    }

    private void refuseInvalid(HttpServerRequest request) {
        Throwable cause = request.decoderResult().cause();
        boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
        services.metrics().invalidInput(tooLong ? "head_too_large" : "malformed_head");
        LOGGER.log(EntryEvent.INPUT_REFUSED, request.remoteAddress(), String.valueOf(cause));
        ErrorAnswer answer = tooLong
                ? ErrorAnswer.notRun(ErrorCode.TOO_LARGE, "the head of the request is too large")
                : ErrorAnswer.notRun(ErrorCode.INVALID_ARGUMENT, "the head of the request is malformed");
        answer.write(request.response(), true)
                .onComplete(written -> request.connection().close());
    }
}
