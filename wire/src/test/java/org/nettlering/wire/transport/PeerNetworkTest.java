package org.nettlering.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.SystemTime;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.FrameProto.Frame;

class PeerNetworkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final InetSocketAddress ANY_PORT = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);

    private final SystemTime time = SystemTime.create("test-timers");
    private final List<PeerNetwork> networks = new ArrayList<>();

    @AfterEach
    void close() {
        networks.forEach(PeerNetwork::close);
        time.close();
    }

    @Test
    void aRequestGoesOverTheSocketAndItsResponseComesBack() throws Exception {
        NettyPeerServer server =
                network("site", "c1", TransportLimits.defaults()).listen(ANY_PORT, new Echo());
        NettyPeer peer = network("site", "e1", TransportLimits.defaults()).peer("c1", server.address());

        Frame response = get(peer.call(request("00-abc"), TIMEOUT));

        assertThat(response.getTraceparent()).isEqualTo("00-abc");
        assertThat(peer.isConnected()).isTrue();
    }

    @Test
    void aProcessOfAnotherClusterIsRefused() {
        NettyPeerServer server =
                network("site", "c1", TransportLimits.defaults()).listen(ANY_PORT, new Echo());
        NettyPeer peer = network("other", "e1", TransportLimits.defaults()).peer("c1", server.address());

        assertThat(codeOf(peer.call(request(""), TIMEOUT))).isEqualTo(ErrorCode.WRONG_CLUSTER);
    }

    @Test
    void aPeerThatDoesNotListenIsReportedAsNotRun() {
        NettyPeerServer server =
                network("site", "c1", TransportLimits.defaults()).listen(ANY_PORT, new Echo());
        InetSocketAddress address = server.address();
        server.close();
        NettyPeer peer = network("site", "e1", TransportLimits.defaults()).peer("c1", address);

        assertThat(codeOf(peer.call(request(""), TIMEOUT))).isEqualTo(ErrorCode.CONNECTION_LOST);
    }

    @Test
    void anExceptionOfTheHandlerArrivesWithItsCode() {
        FrameHandler refusing = new Echo() {
            @Override
            public CompletionStage<Frame> handleRequest(Frame request) {
                throw FrameFailureException.notLeader("c2");
            }
        };
        NettyPeerServer server =
                network("site", "c1", TransportLimits.defaults()).listen(ANY_PORT, refusing);
        NettyPeer peer = network("site", "e1", TransportLimits.defaults()).peer("c1", server.address());

        assertThat(codeOf(peer.call(request(""), TIMEOUT))).isEqualTo(ErrorCode.NOT_LEADER);
    }

    @Test
    void aFrameThatIsTooLargeForTheServerEndsTheConnection() {
        NettyPeerServer server = network(
                        "site", "c1", TransportLimits.defaults().withMaxFrameBytes(64))
                .listen(ANY_PORT, new Echo());
        NettyPeer peer = network("site", "e1", TransportLimits.defaults()).peer("c1", server.address());

        assertThat(codeOf(peer.call(request("x".repeat(1000)), TIMEOUT))).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void requestsBeyondTheBoundOfOneConnectionAreRefusedAsNotRun() throws Exception {
        CompletableFuture<Frame> held = new CompletableFuture<>();
        FrameHandler holding = new Echo() {
            @Override
            public CompletionStage<Frame> handleRequest(Frame request) {
                return held.thenApply(ignored -> request);
            }
        };
        NettyPeerServer server = network(
                        "site", "c1", TransportLimits.defaults().withMaxPendingCalls(1))
                .listen(ANY_PORT, holding);
        NettyPeer peer = network("site", "e1", TransportLimits.defaults()).peer("c1", server.address());
        CompletionStage<Frame> first = peer.call(request("first"), TIMEOUT);

        assertThat(codeOf(peer.call(request("second"), TIMEOUT))).isEqualTo(ErrorCode.OVERLOADED);
        held.complete(Frame.getDefaultInstance());
        assertThat(get(first).getTraceparent()).isEqualTo("first");
    }

    @Test
    void aMessageThatTheHandlerRefusesDoesNotEndTheCallsOfTheSameConnection() throws Exception {
        CompletableFuture<Frame> held = new CompletableFuture<>();
        FrameHandler refusing = new Echo() {
            @Override
            public CompletionStage<Frame> handleRequest(Frame request) {
                return request.getTraceparent().equals("held")
                        ? held.thenApply(ignored -> request)
                        : CompletableFuture.completedFuture(request);
            }

            @Override
            public void handleMessage(Frame message) {
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "a message for another member");
            }
        };
        NettyPeerServer server =
                network("site", "c1", TransportLimits.defaults()).listen(ANY_PORT, refusing);
        NettyPeer peer = network("site", "e1", TransportLimits.defaults()).peer("c1", server.address());
        CompletionStage<Frame> earlier = peer.call(request("held"), TIMEOUT);

        peer.send(request("refused"));

        assertThat(get(peer.call(request("later"), TIMEOUT)).getTraceparent()).isEqualTo("later");
        held.complete(Frame.getDefaultInstance());
        assertThat(get(earlier).getTraceparent()).isEqualTo("held");
    }

    private PeerNetwork network(String clusterId, String processId, TransportLimits limits) {
        PeerNetwork network = PeerNetwork.create(new ClusterIdentity(clusterId, processId, "fd-1"), limits, time);
        networks.add(network);
        return network;
    }

    private static Frame request(String traceparent) {
        return Frame.newBuilder()
                .setTraceparent(traceparent)
                .setConfigurationRequest(ConfigurationRequest.getDefaultInstance())
                .build();
    }

    private static Frame get(CompletionStage<Frame> response) throws Exception {
        return response.toCompletableFuture().get(TIMEOUT.toSeconds(), TimeUnit.SECONDS);
    }

    private static ErrorCode codeOf(CompletionStage<Frame> response) {
        return response.thenApply(frame -> ErrorCode.INTERNAL)
                .exceptionally(error -> {
                    assertThat(error.getCause()).isInstanceOf(NettleringException.class);
                    return error.getCause() instanceof NettleringException exception
                            ? exception.code()
                            : ErrorCode.INTERNAL;
                })
                .toCompletableFuture()
                .orTimeout(TIMEOUT.toSeconds(), TimeUnit.SECONDS)
                .join();
    }

    private static class Echo implements FrameHandler {
        @Override
        public CompletionStage<Frame> handleRequest(Frame request) {
            return CompletableFuture.completedFuture(request);
        }

        @Override
        public void handleMessage(Frame message) {}
    }
}
