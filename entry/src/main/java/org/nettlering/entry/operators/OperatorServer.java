package org.nettlering.entry.operators;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * The HTTP server for operators: configuration, jobs, workers, power, members, status, metrics and readiness.
 *
 * <p>docs/INTERFACES.md lists the resources. Thread-safe.
 */
public final class OperatorServer {
    private static final long MAX_BODY_BYTES = 1024 * 1024;

    private static final int IDLE_TIMEOUT_SECONDS = 60;

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(10);

    private final HttpServer server;

    private OperatorServer(HttpServer server) {
        this.server = server;
    }

    /**
     * Starts the server.
     *
     * @param vertx the Vert.x instance that runs the server, not null
     * @param address the address to listen on; port 0 selects a free port, not null
     * @param services the services of the entry that the routes use, not null
     * @return a future of the running server, never null
     */
    public static Future<OperatorServer> start(Vertx vertx, InetSocketAddress address, OperatorServices services) {
        HttpServerOptions options = new HttpServerOptions()
                .setHost(address.getHostString())
                .setPort(address.getPort())
                .setIdleTimeout(IDLE_TIMEOUT_SECONDS);
        return vertx.createHttpServer(options)
                .requestHandler(router(vertx, services))
                .listen()
                .map(OperatorServer::new);
    }

    private static Router router(Vertx vertx, OperatorServices services) {
        ControlForwarder forwarder = new ControlForwarder(services.gateway(), services.telemetry(), DEFAULT_TIMEOUT);
        Router router = Router.router(vertx);
        router.route("/v1/*")
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
                .handler(routing -> HttpResponses.startSpan(routing, services.telemetry()));
        ConfigurationRoutes.register(router, forwarder);
        TaskRoutes.register(router, forwarder);
        MemberRoutes.register(router, forwarder);
        EvacuationRoutes.register(router, forwarder);
        StatusRoutes.register(router, services, forwarder);
        router.route().failureHandler(HttpResponses::handleRouterFailure);
        for (int status : new int[] {400, 404, 405, 413}) {
            router.errorHandler(status, HttpResponses::handleRouterFailure);
        }
        return router;
    }

    /**
     * Returns the port on which the server listens.
     *
     * @return the bound port
     */
    public int port() {
        return server.actualPort();
    }

    /**
     * Stops listening.
     *
     * @return a future that completes when the server is closed, never null
     */
    public Future<Void> close() {
        return server.close();
    }
}
