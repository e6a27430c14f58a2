package org.nettlering.entry;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.ext.web.Router;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.routing.RoutingPolicy;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.upstream.UpstreamDirectory;
import org.nettlering.entry.announcements.AnnouncementRoutes;
import org.nettlering.entry.callers.CallerServer;
import org.nettlering.entry.callers.CallerServices;
import org.nettlering.entry.callers.ServiceRetryLimits;
import org.nettlering.entry.configuration.ConfigurationClient;
import org.nettlering.entry.gossip.GossipClient;
import org.nettlering.entry.gossip.GossipService;
import org.nettlering.entry.ledger.LedgerClient;
import org.nettlering.entry.lifecycle.AcceptanceGate;
import org.nettlering.entry.lifecycle.InFlightRequests;
import org.nettlering.entry.lifecycle.Readiness;
import org.nettlering.entry.metrics.EntryMetrics;
import org.nettlering.entry.upstreams.SlotAllocator;
import org.nettlering.entry.upstreams.SlotRequest;
import org.nettlering.entry.upstreams.UpstreamPools;
import org.nettlering.entry.upstreams.UpstreamRefresher;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.transport.FrameHandler;
import org.nettlering.wire.transport.Peer;

/**
 * The parts of one entry process, put together over the ports to the other processes.
 *
 * <p>{@link EntryMain} creates the connections; tests give fakes. Thread-safe.
 */
public final class EntryProcess {
    private static final EventLogger LOGGER = EventLogger.of(EntryProcess.class);
    private static final int MAXIMUM_EVENT_LOOPS = 4;

    /** What the process knows of itself. */
    private final EntryConfiguration settings;

    /** Runs the servers. */
    private final Vertx vertx;

    /** The clock. */
    private final TimeSource time;

    /** Follows the configuration. */
    private final ConfigurationClient configuration;

    /** Whether the balancer should send requests. */
    private final Readiness readiness;

    /** Whether new requests are taken. */
    private final AcceptanceGate gate;

    /** The requests in flight. */
    private final InFlightRequests inFlight = InFlightRequests.create();

    /** What upstreams say. */
    private final UpstreamDirectory directory;

    /** Asks the other entries. */
    private final GossipClient gossip;

    /** Answers the other entries. */
    private final GossipService gossipService;

    /** Feeds the admission control. */
    private final UpstreamRefresher refresher;

    /** What the handling of requests needs. */
    private final CallerServices services;

    /** Adds further routes to the platform port. */
    private final Consumer<Router> platformRoutes;

    /** The port of the callers' server once it listens. */
    private final AtomicInteger callersPort = new AtomicInteger();

    /** The platform's server once it listens. */
    private final AtomicReference<@Nullable HttpServer> platformServer = new AtomicReference<>();

    /** The deployment of the callers' server. */
    private final AtomicReference<@Nullable String> deployment = new AtomicReference<>();

    /**
     * Puts the parts together without starting them.
     *
     * @param settings what the process knows of itself, not null
     * @param vertx runs the servers, not null
     * @param time the clock, not null
     * @param gateway the control members, not null
     * @param peers the connections to the other entries by id, not null
     * @param registry where counters are registered, not null
     * @param telemetry records the spans, not null
     * @param platformRoutes adds further routes to the platform port, not null
     */
    public EntryProcess(
            EntryConfiguration settings,
            Vertx vertx,
            TimeSource time,
            ControlGateway gateway,
            Map<String, ? extends Peer> peers,
            PrometheusRegistry registry,
            Telemetry telemetry,
            Consumer<Router> platformRoutes) {
        this.settings = settings;
        this.vertx = vertx;
        this.time = time;
        this.platformRoutes = platformRoutes;
        configuration = ConfigurationClient.of(gateway, time, applied -> {});
        readiness = Readiness.of(List.of(configuration));
        gate = AcceptanceGate.of(configuration);
        directory = UpstreamDirectory.create(time);
        EntryMetrics metrics = EntryMetrics.registerIn(registry);
        AdmissionController<SlotRequest> admission = AdmissionController.of(
                settings.processId(),
                new RoutingPolicy.LeasedSlots(),
                settings.limits().waitingRequests(),
                time,
                new Random(ThreadLocalRandom.current().nextLong()));
        SlotAllocator desk = SlotAllocator.of(admission);
        gossip = new GossipClient(settings.processId(), peers, directory, admission, desk, time);
        desk.onRequestQueued(gossip::borrow);
        desk.onSlotReturned(gossip::report);
        gossipService = new GossipService(
                settings.processId(), ThreadLocalRandom.current().nextLong(), directory, admission, desk);
        UpstreamPools pools = UpstreamPools.of(vertx);
        refresher = new UpstreamRefresher(
                () -> configuration.current().services().keySet(), directory, admission, desk, pools, time);
        services = new CallerServices(
                settings.processId(),
                settings.limits(),
                configuration,
                gate,
                desk,
                pools,
                LedgerClient.of(gateway, settings.processId()),
                ServiceRetryLimits.create(),
                inFlight,
                metrics,
                telemetry,
                time);
        metrics.showCounts(inFlight::count, admission::queuedCount);
    }

    /**
     * Returns whether the balancer should send requests.
     *
     * @return the readiness, never null
     */
    public Readiness readiness() {
        return readiness;
    }

    /**
     * Returns what answers the other entries.
     *
     * @return the handler for the port to the peers, never null
     */
    public FrameHandler peerHandler() {
        return gossipService;
    }

    /**
     * Returns the configuration that the process follows.
     *
     * @return the client, never null
     */
    public ConfigurationClient configuration() {
        return configuration;
    }

    /**
     * Returns the port of the callers' server.
     *
     * @return the port, zero before the server listens
     */
    public int callersPort() {
        return callersPort.get();
    }

    /**
     * Returns the port of the platform's server.
     *
     * @return the port, zero before the server listens
     */
    public int platformPort() {
        HttpServer server = platformServer.get();
        return server == null ? 0 : server.actualPort();
    }

    /**
     * Starts the servers and the loops.
     *
     * @return completes when the process serves, never null
     */
    public CompletionStage<Void> start() {
        configuration.start();
        gossip.start();
        refresher.start();
        return startPlatform()
                .compose(nothing -> startCallers())
                .onSuccess(nothing -> {
                    readiness.markStarted();
                    LOGGER.log(
                            EntryEvent.STARTED,
                            settings.processId(),
                            callersPort(),
                            platformPort(),
                            settings.callers().getHostString());
                })
                .toCompletionStage();
    }

    /**
     * Stops gracefully: turns unready, takes requests until the balancer has noticed, lets those in flight finish.
     *
     * @return completes with the number of requests that were cut off, never null
     */
    public CompletionStage<Integer> stop() {
        readiness.markStopping();
        LOGGER.log(EntryEvent.STOPPING, inFlight.count());
        CompletableFuture<Integer> stopped = new CompletableFuture<>();
        time.schedule(settings.limits().balancerNotice(), () -> {
            gate.close();
            awaitInFlight(settings.limits().stopTimeout(), () -> close(stopped));
        });
        return stopped;
    }

    private void awaitInFlight(Duration timeout, Runnable then) {
        AtomicBoolean reached = new AtomicBoolean();
        Runnable once = () -> {
            if (reached.compareAndSet(false, true)) {
                then.run();
            }
        };
        time.schedule(timeout, once);
        inFlight.whenIdle().thenRun(once);
    }

    private void close(CompletableFuture<Integer> stopped) {
        int cutOff = inFlight.count();
        configuration.stop();
        gossip.stop();
        refresher.stop();
        String deployed = deployment.get();
        HttpServer platform = platformServer.get();
        Future<?> undeployed = deployed == null ? Future.succeededFuture() : vertx.undeploy(deployed);
        Future<?> closed = platform == null ? Future.succeededFuture() : platform.close();
        Future.join(undeployed, closed).onComplete(done -> {
            LOGGER.log(EntryEvent.STOPPED, cutOff);
            stopped.complete(cutOff);
        });
    }

    private Future<Void> startCallers() {
        int instances = Math.min(MAXIMUM_EVENT_LOOPS, Runtime.getRuntime().availableProcessors());
        DeploymentOptions options = new DeploymentOptions().setInstances(instances);
        InetSocketAddress address = settings.callers();
        return vertx.deployVerticle(() -> new CallerServer(services, address, callersPort::set), options)
                .onSuccess(deployment::set)
                .mapEmpty();
    }

    private Future<Void> startPlatform() {
        Router router = Router.router(vertx);
        AnnouncementRoutes.register(router, directory, services.metrics());
        platformRoutes.accept(router);
        HttpServerOptions options = new HttpServerOptions()
                .setHost(settings.platform().getAddress().getHostAddress())
                .setPort(settings.platform().getPort())
                .setIdleTimeout((int) settings.limits().headTimeout().toSeconds());
        return vertx.createHttpServer(options)
                .requestHandler(router)
                .listen()
                .onSuccess(platformServer::set)
                .mapEmpty();
    }
}
