package org.nettlering.control.service;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.FrameFailureException;
import org.nettlering.wire.transport.FrameHandler;

class LeaderHintHandlerTest {
    private static final Member LEADER = Member.learner(MemberId.of("c2"), "10.0.0.2:7100", "fd-2");

    @Test
    void aRefusalTellsWhereTheLeaderListens() {
        assertThat(hint(Map.of()).leaderAddress()).isEqualTo("10.0.0.2:7100");
    }

    @Test
    void aRefusalTellsTheAddressAtWhichCallersReachTheLeader() {
        InetSocketAddress relay = InetSocketAddress.createUnresolved("192.0.2.7", 9100);
        assertThat(hint(Map.of("c2", relay)).leaderAddress()).isEqualTo("192.0.2.7:9100");
    }

    private static FrameFailureException hint(Map<String, InetSocketAddress> advertised) {
        FrameHandler handler = LeaderHintHandler.of(new Refusing(), () -> Optional.of(LEADER), advertised);
        CompletableFuture<Frame> answer =
                handler.handleRequest(Frame.getDefaultInstance()).toCompletableFuture();
        return (FrameFailureException) answer.exceptionNow();
    }

    /** A member that does not lead. */
    private static final class Refusing implements FrameHandler {
        @Override
        public CompletionStage<Frame> handleRequest(Frame request) {
            return CompletableFuture.failedStage(new NettleringException(ErrorCode.NOT_LEADER, "not the leader"));
        }

        @Override
        public void handleMessage(Frame message) {}
    }
}
