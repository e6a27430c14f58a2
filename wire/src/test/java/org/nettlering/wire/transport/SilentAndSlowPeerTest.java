package org.nettlering.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.FrameProto.Hello;
import org.nettlering.wire.transport.link.PeerLink;

class SilentAndSlowPeerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    private static final TransportLimits LIMITS = TransportLimits.defaults();
    private static final int RESPONSE_BYTES = 64 * 1024;
    private static final int MAX_QUEUED_BYTES = 1024 * 1024;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<PeerNetwork> networks = new ArrayList<>();
    private final Metrics metrics = Metrics.create();
    private final AtomicInteger handled = new AtomicInteger();

    @AfterEach
    void close() {
        networks.forEach(PeerNetwork::close);
    }

    @Test
    void aConnectionThatSomethingLostTrackOfIsReplacedWhileNewOnesWork() {
        NettyPeerServer server = network("c1", LIMITS).listen(ANY_PORT, answering(Frame.getDefaultInstance()));
        try (FreezingRelay relay = new FreezingRelay(server.address())) {
            NettyPeer peer = network("e1", LIMITS).peer("c1", relay.address());
            join(peer.call(Frame.getDefaultInstance(), TIMEOUT));
            relay.freezeOpenConnections();
            CompletableFuture<Frame> swallowed =
                    peer.call(Frame.getDefaultInstance(), TIMEOUT).toCompletableFuture();

            time.advance(LIMITS.silenceTimeout().plus(LIMITS.pingInterval()));

            assertThat(swallowed)
                    .failsWithin(TIMEOUT)
                    .withThrowableThat()
                    .havingCause()
                    .satisfies(cause -> assertThat(((NettleringException) cause).code())
                            .isIn(ErrorCode.OUTCOME_UNKNOWN, ErrorCode.CONNECTION_LOST));
            assertThat(join(peer.call(Frame.getDefaultInstance(), TIMEOUT))).isNotNull();
            assertThat(relay.connections()).isEqualTo(2);
            assertThat(metrics.scrape()).contains("nettlering_peer_silent_connections_total{peer=\"c1\"} 1.0");
        }
    }

    @Test
    void aServerClosesAConnectionWhoseCallerWentSilent() throws IOException {
        NettyPeerServer server = network("c1", LIMITS).listen(ANY_PORT, answering(Frame.getDefaultInstance()));
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            greet(socket);
            time.advance(LIMITS.silenceTimeout().multipliedBy(3));

            assertThat(socket.getInputStream().read()).isEqualTo(-1);
        }
    }

    @Test
    @Timeout(60)
    void aCallerThatDoesNotReadItsResponsesIsNotServedAnyMoreAndThenCutOff() throws IOException {
        Frame large =
                Frame.newBuilder().setTraceparent("x".repeat(RESPONSE_BYTES)).build();
        NettyPeerServer server =
                network("c1", LIMITS.withMaxQueuedBytes(MAX_QUEUED_BYTES)).listen(ANY_PORT, answering(large));
        try (Socket socket =
                new Socket(server.address().getAddress(), server.address().getPort())) {
            greet(socket);
            sendUntilCutOff(socket, 5 * LIMITS.maxPendingCalls());
            while (server.openConnections() > 0) {
                time.advance(LIMITS.pingInterval());
                Thread.onSpinWait();
            }

            assertThat(handled.get()).isLessThan(2 * LIMITS.maxPendingCalls());
        }
    }

    /** Sends requests and reads nothing; the server may cut the connection while this still sends. */
    private static void sendUntilCutOff(Socket socket, int requests) {
        try {
            DataOutputStream out = new DataOutputStream(socket.getOutputStream());
            for (int i = 1; i <= requests; i++) {
                write(out, Frame.newBuilder().setCorrelationId(i).build());
            }
        } catch (IOException cutOff) {
            assertThat(cutOff).hasMessageMatching(".*(reset|pipe|closed|aborted).*");
        }
    }

    private FrameHandler answering(Frame response) {
        return new FrameHandler() {
            @Override
            public CompletionStage<Frame> handleRequest(Frame request) {
                handled.incrementAndGet();
                return CompletableFuture.completedFuture(response);
            }

            @Override
            public void handleMessage(Frame message) {}
        };
    }

    private PeerNetwork network(String processId, TransportLimits limits) {
        PeerNetwork network = PeerNetwork.create(
                new ClusterIdentity("site", processId, "fd-1"),
                limits,
                time,
                processId.equals("e1") ? TransportCounters.registerIn(metrics.registry()) : TransportCounters.unread());
        networks.add(network);
        return network;
    }

    private static Frame join(CompletionStage<Frame> response) {
        return response.toCompletableFuture()
                .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private static void greet(Socket socket) throws IOException {
        Hello hello = Hello.newBuilder()
                .setClusterId("site")
                .setProtocolVersion(PeerLink.PROTOCOL_VERSION)
                .setProcessId("e1")
                .build();
        write(
                new DataOutputStream(socket.getOutputStream()),
                Frame.newBuilder().setHello(hello).build());
        DataInputStream in = new DataInputStream(socket.getInputStream());
        byte[] reply = in.readNBytes(in.readInt());
        assertThat(Frame.parseFrom(reply).hasHelloReply()).isTrue();
    }

    private static void write(DataOutputStream out, Frame frame) throws IOException {
        out.writeInt(frame.getSerializedSize());
        frame.writeTo(out);
        out.flush();
    }
}
