package org.nettlering.entry;

import io.vertx.core.Vertx;
import java.net.InetSocketAddress;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.entry.operators.OperatorServer;
import org.nettlering.entry.operators.OperatorServices;
import org.nettlering.entry.operators.ReadinessReport;
import org.nettlering.entry.operators.WorkerReportRoutes;
import org.nettlering.entry.settings.EntrySettings;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.runtime.program.Daemon;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.LeaderControlGateway;
import org.nettlering.wire.transport.MemberDiscovery;
import org.nettlering.wire.transport.NettyPeer;
import org.nettlering.wire.transport.NettyPeerServer;
import org.nettlering.wire.transport.PeerNetwork;
import org.nettlering.wire.transport.TransportCounters;
import org.nettlering.wire.transport.TransportLimits;

/**
 * The program {@code nettlering-entry}: routes requests of callers to upstreams, accepts announcements of upstreams and
 * forwards requests of operators and reports of workers to the control leader.
 */
public final class EntryMain {
    private static final String PROGRAM = "nettlering-entry";

    private EntryMain() {}

    /**
     * Runs the program until it is asked to terminate.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        Daemon.of(PROGRAM, EntrySettings::load, EntryMain::start).main(arguments);
    }

    private static Daemon.Running<EntrySettings> start(EntrySettings settings) {
        SystemTime time = SystemTime.create("entry-time");
        Metrics metrics = Metrics.create();
        Telemetry telemetry = Telemetry.create(PROGRAM, settings.identity().processId(), settings.telemetry(), time);
        PeerNetwork network = PeerNetwork.create(
                settings.identity(),
                TransportLimits.defaults(),
                time,
                TransportCounters.registerIn(metrics.registry()));
        LeaderControlGateway gateway =
                LeaderControlGateway.connecting(settings.controlAddresses(), network::peer, time);
        MemberDiscovery memberDiscovery = MemberDiscovery.start(gateway, time);
        Vertx vertx = Vertx.vertx();
        EntryConfiguration configuration = new EntryConfiguration(
                settings.identity().processId(),
                settings.callersAddress(),
                settings.platformAddress(),
                settings.limits());
        EntryProcess process = new EntryProcess(
                configuration,
                vertx,
                time,
                gateway,
                peers(network, settings.otherEntryAddresses()),
                metrics.registry(),
                telemetry,
                router -> WorkerReportRoutes.register(router, gateway, telemetry));
        NettyPeerServer peerServer = network.listen(settings.peersAddress(), process.peerHandler());
        OperatorServices operators = new OperatorServices(
                settings.identity().processId(), gateway, telemetry, metrics, () -> readiness(process));
        OperatorServer operatorServer = await(OperatorServer.start(vertx, settings.operatorsAddress(), operators)
                .toCompletionStage());
        await(process.start());
        return () -> {
            await(process.stop());
            await(operatorServer.close().toCompletionStage());
            memberDiscovery.close();
            peerServer.close();
            network.close();
            telemetry.close();
            time.close();
            await(vertx.close().toCompletionStage());
        };
    }

    private static ReadinessReport readiness(EntryProcess process) {
        String reason = process.readiness().reason();
        return new ReadinessReport(process.readiness().isReady(), reason);
    }

    private static Map<String, NettyPeer> peers(PeerNetwork network, Map<String, InetSocketAddress> addresses) {
        Map<String, NettyPeer> peers = new LinkedHashMap<>();
        addresses.forEach((id, address) -> peers.put(id, network.peer(id, address)));
        return peers;
    }

    private static <T> T await(CompletionStage<T> stage) {
        try {
            return stage.toCompletableFuture().join();
        } catch (CompletionException exception) {
            if (exception.getCause() instanceof NettleringException expected) {
                throw expected;
            }
            throw new NettleringException(
                    ErrorCode.INTERNAL, "the entry failed to start or stop: " + exception.getCause(), exception);
        }
    }
}
