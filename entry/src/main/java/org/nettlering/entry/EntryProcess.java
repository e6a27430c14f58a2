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
    private final EntryConfiguration entryConfiguration;

    /** Runs the servers. */
    private final Vertx vertx;

    /** The clock. */
    private final TimeSource time;

    /** Follows the configuration. */
    private final ConfigurationClient configurationClient;

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
    private final CallerServices callerServices;

    /** Adds further routes to the platform port. */
    private final Consumer<Router> platformRoutes;

    /** The port of the callers' server once it listens. */
    private final AtomicInteger callersPort = new AtomicInteger();

    /** The platform's server once it listens. */
    private final AtomicReference<@Nullable HttpServer> platformServer = new AtomicReference<>();

    /** The deployment of the callers' server. */
    private final AtomicReference<@Nullable String> callersDeploymentId = new AtomicReference<>();

    /**
     * Puts the parts together without starting them.
     *
     * @param entryConfiguration what the process knows of itself, not null
     * @param vertx runs the servers, not null
     * @param time the clock, not null
     * @param gateway the control members, not null
     * @param peers the connections to the other entries by id, not null
     * @param registry where counters are registered, not null
     * @param telemetry records the spans, not null
     * @param platformRoutes adds further routes to the platform port, not null
     */
    public EntryProcess(
            EntryConfiguration entryConfiguration,
            Vertx vertx,
            TimeSource time,
            ControlGateway gateway,
            Map<String, ? extends Peer> peers,
            PrometheusRegistry registry,
            Telemetry telemetry,
            Consumer<Router> platformRoutes) {
        this.entryConfiguration = entryConfiguration;
        this.vertx = vertx;
        this.time = time;
        this.platformRoutes = platformRoutes;
        configurationClient = ConfigurationClient.of(gateway, time, applied -> {});
        readiness = Readiness.of(List.of(configurationClient));
        gate = AcceptanceGate.of(configurationClient);
        directory = UpstreamDirectory.create(time);
        EntryMetrics metrics = EntryMetrics.registerIn(registry);
        AdmissionController<SlotRequest> admission = AdmissionController.of(
                entryConfiguration.processId(),
                new RoutingPolicy.LeasedSlots(),
                entryConfiguration.limits().maxQueuedRequests(),
                time,
                new Random(ThreadLocalRandom.current().nextLong()));
        SlotAllocator slotAllocator = SlotAllocator.of(admission);
        gossip = new GossipClient(entryConfiguration.processId(), peers, directory, admission, slotAllocator, time);
        slotAllocator.onRequestQueued(gossip::borrowSlots);
        slotAllocator.onSlotReturned(gossip::reportReturnedSlot);
        gossipService = new GossipService(
                entryConfiguration.processId(),
                ThreadLocalRandom.current().nextLong(),
                directory,
                admission,
                slotAllocator);
        UpstreamPools pools = UpstreamPools.of(vertx);
        refresher = new UpstreamRefresher(
                () -> configurationClient.current().services().keySet(),
                directory,
                admission,
                slotAllocator,
                pools,
                time);
        callerServices = new CallerServices(
                entryConfiguration.processId(),
                entryConfiguration.limits(),
                configurationClient,
                gate,
                slotAllocator,
                pools,
                LedgerClient.of(gateway, entryConfiguration.processId()),
                ServiceRetryLimits.create(),
                inFlight,
                metrics,
                telemetry,
                time);
        metrics.registerGauges(inFlight::count, admission::queuedCount);
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
    public ConfigurationClient configurationClient() {
        return configurationClient;
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
        configurationClient.start();
        gossip.start();
        refresher.start();
        return startPlatformServer()
                .compose(nothing -> startCallerServer())
                .onSuccess(nothing -> {
                    readiness.markStarted();
                    LOGGER.log(
                            EntryEvent.STARTED,
                            entryConfiguration.processId(),
                            callersPort(),
                            platformPort(),
                            entryConfiguration.callersAddress().getHostString());
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
        time.schedule(entryConfiguration.limits().balancerNotice(), () -> {
            gate.close();
            awaitInFlight(entryConfiguration.limits().stopTimeout(), () -> close(stopped));
        });
        return stopped;
    }

    private void awaitInFlight(Duration timeout, Runnable continuation) {
        AtomicBoolean continued = new AtomicBoolean();
        Runnable once = () -> {
            if (continued.compareAndSet(false, true)) {
                continuation.run();
            }
        };
        time.schedule(timeout, once);
        inFlight.whenIdle().thenRun(once);
    }

    private void close(CompletableFuture<Integer> stopped) {
        int abortedRequests = inFlight.count();
        configurationClient.stop();
        gossip.stop();
        refresher.stop();
        String deploymentId = callersDeploymentId.get();
        HttpServer platform = platformServer.get();
        Future<?> undeployed = deploymentId == null ? Future.succeededFuture() : vertx.undeploy(deploymentId);
        Future<?> closed = platform == null ? Future.succeededFuture() : platform.close();
        Future.join(undeployed, closed).onComplete(done -> {
            LOGGER.log(EntryEvent.STOPPED, abortedRequests);
            stopped.complete(abortedRequests);
        });
    }

    private Future<Void> startCallerServer() {
        int instances = Math.min(MAXIMUM_EVENT_LOOPS, Runtime.getRuntime().availableProcessors());
        DeploymentOptions options = new DeploymentOptions().setInstances(instances);
        InetSocketAddress address = entryConfiguration.callersAddress();
        return vertx.deployVerticle(() -> new CallerServer(callerServices, address, callersPort::set), options)
                .onSuccess(callersDeploymentId::set)
                .mapEmpty();
    }

    private Future<Void> startPlatformServer() {
        Router router = Router.router(vertx);
        AnnouncementRoutes.register(router, directory, callerServices.metrics());
        platformRoutes.accept(router);
        HttpServerOptions options = new HttpServerOptions()
                .setHost(entryConfiguration.platformAddress().getAddress().getHostAddress())
                .setPort(entryConfiguration.platformAddress().getPort())
                .setIdleTimeout((int) entryConfiguration.limits().headTimeout().toSeconds());
        return vertx.createHttpServer(options)
                .requestHandler(router)
                .listen()
                .onSuccess(platformServer::set)
                .mapEmpty();
    }
}
