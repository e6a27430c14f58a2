package org.nettlering.control.process;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.nettlering.control.state.SiteStateMachine;
import org.nettlering.control.testing.EmptyPart;
import org.nettlering.control.testing.SingleMemberLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.transport.FrameHandler;

class OwnOrLeaderGatewayTest {
    private static final Duration TIMEOUT = Duration.ofMillis(800);

    private static final Frame RESPONSE = Frame.newBuilder().setTraceparent("t").build();

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final SingleMemberLog log = new SingleMemberLog(
            SiteStateMachine.of(new EmptyPart(), new EmptyPart(), new EmptyPart(), new EmptyPart()));
    private final Own own = new Own();
    private final Others others = new Others();
    private final ControlGateway gateway = new OwnOrLeaderGateway(log, own, others, time);

    @Test
    void aLeaderAnswersItself() {
        own.response.complete(RESPONSE);

        assertThat(call()).isCompletedWithValue(RESPONSE);
        assertThat(others.timeouts).isEmpty();
    }

    @Test
    void aRequestThatThisLeaderDoesNotAnswerInTimeHasAnUnknownOutcome() {
        CompletableFuture<Frame> response = call();
        time.advance(TIMEOUT.minusMillis(1));
        assertThat(response).isNotDone();

        time.advance(Duration.ofMillis(1));
        assertThat(codeOf(response)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void aRequestThatThisMemberRefusesForItNoLongerLeadsHasTheRestOfItsTime() {
        CompletableFuture<Frame> response = call();
        time.advance(Duration.ofMillis(300));
        own.response.completeExceptionally(new NettleringException(ErrorCode.NOT_LEADER, "deposed"));

        assertThat(response).isCompletedWithValue(RESPONSE);
        assertThat(others.timeouts).containsExactly(Duration.ofMillis(500));
    }

    @Test
    void anExceptionOfTheHandlerFailsTheCall() {
        own.exception = new IllegalStateException("a fault");

        assertThat(call()).isCompletedExceptionally();
    }

    private CompletableFuture<Frame> call() {
        return gateway.callLeader(Frame.getDefaultInstance(), true, TIMEOUT).toCompletableFuture();
    }

    private static ErrorCode codeOf(CompletableFuture<Frame> response) {
        return ((NettleringException) response.exceptionNow()).code();
    }

    private static final class Own implements FrameHandler {
        private final CompletableFuture<Frame> response = new CompletableFuture<>();
        private @Nullable RuntimeException exception;

        @Override
        public CompletionStage<Frame> handleRequest(Frame request) {
            RuntimeException prepared = exception;
            if (prepared != null) {
                throw prepared;
            }
            return response;
        }

        @Override
        public void handleMessage(Frame message) {}
    }

    private static final class Others implements ControlGateway {
        private final List<Duration> timeouts = new ArrayList<>();

        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            timeouts.add(timeout);
            return CompletableFuture.completedFuture(RESPONSE);
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }
}
