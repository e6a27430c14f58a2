package org.nettlering.wire.transport.link;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.FrameProto.Failure;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.FrameProto.Hello;
import org.nettlering.wire.transport.FrameFailureException;
import org.nettlering.wire.transport.TransportLimits;
import org.nettlering.wire.transport.link.FakeDialer.FakeConnection;

class PeerLinkTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(30);
    private static final Frame REQUEST =
            Frame.newBuilder().setTraceparent("00-trace").build();

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final FakeDialer dialer = new FakeDialer();
    private final RecordingListener listener = new RecordingListener();
    private TransportLimits limits = TransportLimits.defaults();
    private PeerLink link = newLink();

    @BeforeEach
    void setUp() {
        link = newLink();
    }

    @Test
    void nothingIsConnectedBeforeTheFirstUse() {
        assertThat(dialer.connections).isEmpty();
    }

    @Test
    void aCallWaitsForTheHandshakeAndKeepsItsTraceContext() {
        CompletableFuture<Frame> response = call(TIMEOUT);
        FakeConnection connection = dialer.last();
        connection.open();

        assertThat(connection.requests()).isEmpty();
        assertThat(connection.written.getFirst().hasHello()).isTrue();
        connection.greet("c1");

        Frame sent = connection.requests().getFirst();
        assertThat(sent.getTraceparent()).isEqualTo("00-trace");
        connection.answer(sent);
        assertThat(response)
                .isCompletedWithValueMatching(frame -> frame.getTraceparent().equals("00-trace"));
    }

    @Test
    void responsesThatArriveOutOfOrderReachTheirOwnRequests() {
        FakeConnection connection = connect();
        CompletableFuture<Frame> first = call(TIMEOUT);
        CompletableFuture<Frame> second = call(TIMEOUT);
        List<Frame> sent = connection.requests();

        connection.answer(sent.get(1).toBuilder().setTraceparent("second").build());
        connection.answer(sent.get(0).toBuilder().setTraceparent("first").build());

        assertThat(first.join().getTraceparent()).isEqualTo("first");
        assertThat(second.join().getTraceparent()).isEqualTo("second");
    }

    @Test
    void aLateResponseReachesNobody() {
        FakeConnection connection = connect();
        CompletableFuture<Frame> late = call(Duration.ofMillis(100));
        time.advance(Duration.ofMillis(100));
        CompletableFuture<Frame> next = call(TIMEOUT);

        connection.answer(connection.requests().getFirst());

        assertThat(codeOf(late)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(next).isNotDone();
        assertThat(listener.lateResponses).isEqualTo(1);
    }

    @Test
    void aCallThatWasNeverHandedOverIsLostNotUnknown() {
        FakeConnection connection = connect();
        connection.handOver = false;
        CompletableFuture<Frame> response = call(TIMEOUT);
        connection.listener.closed("reset");

        assertThat(codeOf(response)).isEqualTo(ErrorCode.CONNECTION_LOST);
    }

    @Test
    void aCallThatWasHandedOverIsUnknownWhenTheConnectionEnds() {
        FakeConnection connection = connect();
        CompletableFuture<Frame> response = call(TIMEOUT);
        connection.listener.closed("reset");

        assertThat(codeOf(response)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void aCallWhoseTimeoutPassedBeforeTheHandshakeIsNeverWritten() {
        CompletableFuture<Frame> response = call(Duration.ofMillis(10));
        dialer.last().open();
        time.advance(Duration.ofMillis(10));
        dialer.last().greet("c1");

        assertThat(codeOf(response)).isEqualTo(ErrorCode.CONNECTION_LOST);
        assertThat(dialer.last().requests()).isEmpty();
    }

    @Test
    void aConnectionThatSwallowsEverythingIsReplacedWithinTheSilenceTimeout() {
        FakeConnection swallowing = connect();
        CompletableFuture<Frame> response = call(TIMEOUT);
        time.advance(limits.silenceTimeout().plus(limits.pingInterval()));

        assertThat(swallowing.closed).isTrue();
        assertThat(swallowing.pings()).isPositive();
        assertThat(listener.silences).isEqualTo(1);
        assertThat(codeOf(response)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(dialer.connections).hasSize(2);

        CompletableFuture<Frame> next = call(TIMEOUT);
        dialer.last().open();
        dialer.last().greet("c1");
        dialer.last().answer(dialer.last().requests().getFirst());
        assertThat(next).isCompleted();
    }

    @Test
    void aHandshakeThatIsSwallowedIsGivenUpToo() {
        CompletableFuture<Frame> response = call(TIMEOUT);
        dialer.last().open();
        time.advance(limits.silenceTimeout());

        assertThat(codeOf(response)).isEqualTo(ErrorCode.CONNECTION_LOST);
        assertThat(dialer.last().closed).isTrue();
    }

    @Test
    void pongsKeepAnIdleConnection() {
        FakeConnection connection = connect();
        for (int i = 0; i < 20; i++) {
            time.advance(limits.pingInterval());
            connection.listener.received(Frame.newBuilder()
                    .setPong(org.nettlering.wire.proto.FrameProto.Pong.getDefaultInstance())
                    .build());
        }

        assertThat(connection.closed).isFalse();
        assertThat(dialer.connections).hasSize(1);
    }

    @Test
    void framesOfAReplacedConnectionAreIgnored() {
        FakeConnection old = connect();
        CompletableFuture<Frame> lost = call(TIMEOUT);
        Frame sent = old.requests().getFirst();
        time.advance(limits.silenceTimeout().plus(limits.pingInterval()));
        CompletableFuture<Frame> next = call(TIMEOUT);
        old.answer(sent);
        old.listener.closed("at last");

        assertThat(codeOf(lost)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(next).isNotDone();
        assertThat(dialer.connections).hasSize(2);
    }

    @Test
    void callsFailAtOnceWhileTheLinkBacksOffAndTheWaitsGrow() {
        CompletableFuture<Frame> first = call(TIMEOUT);
        dialer.last().listener.closed("refused");
        CompletableFuture<Frame> second = call(TIMEOUT);

        assertThat(codeOf(first)).isEqualTo(ErrorCode.CONNECTION_LOST);
        assertThat(codeOf(second)).isEqualTo(ErrorCode.CONNECTION_LOST);
        time.advance(limits.minBackOff());
        assertThat(dialer.connections).hasSize(2);
        dialer.last().listener.closed("refused");
        time.advance(limits.minBackOff().dividedBy(2));
        assertThat(dialer.connections).hasSize(2);
        time.advance(limits.minBackOff().multipliedBy(2));
        assertThat(dialer.connections).hasSize(3);
    }

    @Test
    void aConnectionThatEndsRightAfterItsHandshakeBacksOff() {
        connect().listener.closed("closed by a full server");

        assertThat(dialer.connections).hasSize(1);
        time.advance(limits.minBackOff());
        assertThat(dialer.connections).hasSize(2);
    }

    @Test
    void anotherProcessAtTheAddressIsRefusedLoudly() {
        link = newLink("c2");
        CompletableFuture<Frame> response = call(TIMEOUT);
        dialer.last().open();
        dialer.last().greet("c1");

        assertThat(codeOf(response)).isEqualTo(ErrorCode.WRONG_CLUSTER);
        assertThat(listener.refusals).hasSize(1);
        assertThat(dialer.last().requests()).isEmpty();
    }

    @Test
    void aFailureBecomesAnExceptionWithCodeAndLeader() {
        FakeConnection connection = connect();
        CompletableFuture<Frame> response = call(TIMEOUT);
        Failure failure = Failure.newBuilder()
                .setCode("not-leader")
                .setLeaderId("c3")
                .setNotRun(true)
                .build();
        connection.listener.received(
                connection.requests().getFirst().toBuilder().setFailure(failure).build());

        assertThat(errorOf(response)).isInstanceOfSatisfying(FrameFailureException.class, exception -> {
            assertThat(exception.code()).isEqualTo(ErrorCode.NOT_LEADER);
            assertThat(exception.leaderId()).contains("c3");
            assertThat(exception.isNotRun()).isTrue();
        });
    }

    @Test
    void aFullOutboundQueueRefusesCallsAndDropsMessages() {
        FakeConnection connection = connect();
        connection.writable = false;

        assertThat(codeOf(call(TIMEOUT))).isEqualTo(ErrorCode.OVERLOADED);
        link.send(REQUEST);
        assertThat(listener.droppedMessages).isEqualTo(1);
        assertThat(connection.requests()).isEmpty();
    }

    @Test
    void pendingCallsAreBounded() {
        limits = limits.withMaxPendingCalls(2);
        link = newLink();
        connect();
        CompletableFuture<Frame> first = call(TIMEOUT);
        CompletableFuture<Frame> second = call(TIMEOUT);

        assertThat(codeOf(call(TIMEOUT))).isEqualTo(ErrorCode.OVERLOADED);
        assertThat(first).isNotDone();
        assertThat(second).isNotDone();
    }

    @Test
    void aFrameBeyondTheLimitIsRefusedBeforeItIsSent() {
        limits = limits.withMaxFrameBytes(4);
        link = newLink();

        assertThat(codeOf(call(TIMEOUT))).isEqualTo(ErrorCode.TOO_LARGE);
        assertThat(dialer.connections).isEmpty();
    }

    @Test
    void closingFailsWhatWaitsAndLeavesNoTimerOfACall() {
        connect();
        CompletableFuture<Frame> response = call(TIMEOUT);
        link.close();

        assertThat(response).isCompletedExceptionally();
        assertThat(codeOf(call(TIMEOUT))).isEqualTo(ErrorCode.CONNECTION_LOST);
        time.advance(TIMEOUT);
        assertThat(time.pendingTimers()).isZero();
        assertThat(dialer.connections).hasSize(1);
    }

    private FakeConnection connect() {
        link.send(REQUEST);
        dialer.last().open();
        dialer.last().greet("c1");
        return dialer.last();
    }

    private CompletableFuture<Frame> call(Duration timeout) {
        return link.call(REQUEST, timeout).toCompletableFuture();
    }

    private PeerLink newLink() {
        return newLink("");
    }

    private PeerLink newLink(String expectedPeerId) {
        return new PeerLink(Hello.getDefaultInstance(), expectedPeerId, dialer, time, () -> 1.0, limits, listener);
    }

    private static ErrorCode codeOf(CompletableFuture<Frame> response) {
        return ((NettleringException) errorOf(response)).code();
    }

    private static Throwable errorOf(CompletableFuture<Frame> response) {
        assertThat(response).isCompletedExceptionally();
        Throwable error = response.exceptionNow();
        return error instanceof CompletionException && error.getCause() != null ? error.getCause() : error;
    }

    private static final class RecordingListener implements PeerLinkListener {
        final List<String> refusals = new ArrayList<>();
        int silences;
        int droppedMessages;
        int lateResponses;

        @Override
        public void connected() {}

        @Override
        public void disconnected(String reason) {}

        @Override
        public void unreachable(String reason) {}

        @Override
        public void refused(String reason) {
            refusals.add(reason);
        }

        @Override
        public void silent(Duration quiet) {
            silences++;
        }

        @Override
        public void messageDropped() {
            droppedMessages++;
        }

        @Override
        public void lateResponse() {
            lateResponses++;
        }
    }
}
