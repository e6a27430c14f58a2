package org.nettlering.entry.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.WorkflowProto.WorkflowAnswer;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.workflow.WorkflowClient;

class FailFastGatewayTest {
    private static final Frame REQUEST = Frame.getDefaultInstance();

    private static final Duration TIMEOUT = Duration.ofMillis(900);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    private final Leader leader = new Leader();

    private final LeaderMonitor leaderMonitor = LeaderMonitor.start(WorkflowClient.of(leader), time);

    private final FailFastGateway gateway = FailFastGateway.of(leader, leaderMonitor);

    @Test
    void requestIsForwardedToRespondingLeader() {
        assertThat(call()).isCompletedWithValue(leader.response);
    }

    @Test
    void requestsFailImmediatelyAfterLeaderlessTimeout() {
        leader.isReachable = false;
        time.advance(Duration.ofMillis(1_400));
        int callsBefore = leader.calls.size();
        assertThat(call()).as("a request is forwarded during a short gap").isNotNull();
        assertThat(leader.calls).hasSizeGreaterThan(callsBefore);
        time.advance(Duration.ofMillis(200));
        int callsAfterTimeout = leader.calls.size();
        assertThat(call().exceptionNow())
                .isInstanceOfSatisfying(
                        NettleringException.class,
                        rejection -> assertThat(rejection.code()).isEqualTo(ErrorCode.NO_LEADER));
        assertThat(leader.calls).as("a rejected request is not forwarded").hasSize(callsAfterTimeout);
    }

    @Test
    void requestsAreForwardedAgainWithinOneCheckOfLeaderReturn() {
        leader.isReachable = false;
        time.advance(Duration.ofSeconds(4));
        leader.isReachable = true;
        time.advance(Duration.ofMillis(150));
        assertThat(call()).isCompletedWithValue(leader.response);
    }

    @Test
    void checksGoOnAfterOneThatThrows() {
        leader.throwsOnce = true;
        time.advance(Duration.ofSeconds(4));
        assertThat(leaderMonitor.unmetReason()).isNull();
    }

    private CompletableFuture<Frame> call() {
        return gateway.callLeader(REQUEST, true, TIMEOUT).toCompletableFuture();
    }

    /** A leader whose reachability the test sets. */
    private static final class Leader implements ControlGateway {
        private final Frame response = Frame.newBuilder()
                .setWorkflowResponse(WorkflowResponse.newBuilder().setAnswer(WorkflowAnswer.ANSWER_DONE))
                .build();

        private final List<Frame> calls = new ArrayList<>();

        private boolean isReachable = true;

        private boolean throwsOnce;

        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            calls.add(request);
            if (throwsOnce) {
                throwsOnce = false;
                throw new IllegalStateException("the network is closed");
            }
            return isReachable
                    ? CompletableFuture.completedFuture(response)
                    : CompletableFuture.failedFuture(new NettleringException(ErrorCode.NO_LEADER, "none is elected"));
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }
}
