package org.nettlering.wire.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.wire.codec.EvacuationCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.WorkflowProto.WorkflowAnswer;
import org.nettlering.wire.proto.WorkflowProto.WorkflowRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;
import org.nettlering.wire.transport.ControlGateway;

class WorkflowClientTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private final ScriptedGateway gateway = new ScriptedGateway();
    private final WorkflowClient client = WorkflowClient.of(gateway);

    @Test
    void evacuationThatHoldsAlreadyIsAcknowledgedWithoutAChange() {
        gateway.respond(WorkflowAnswer.ANSWER_DONE, 3, "zone-a");
        assertThat(client.changeEvacuation("zone-a", true, TIMEOUT)).isCompleted();
        assertThat(gateway.requests).hasSize(1);
    }

    @Test
    void evacuationIsChangedOnTheVersionThatWasRead() {
        gateway.respond(WorkflowAnswer.ANSWER_DONE, 3);
        gateway.respond(WorkflowAnswer.ANSWER_DONE, 4, "zone-a");
        assertThat(client.changeEvacuation("zone-a", true, TIMEOUT)).isCompleted();
        assertThat(gateway.requests.getLast().getChangeEvacuation().getExpectedVersion())
                .isEqualTo(3);
    }

    @Test
    void evacuationIsTriedAgainAfterAnotherOneChanged() {
        gateway.respond(WorkflowAnswer.ANSWER_DONE, 3);
        gateway.respond(WorkflowAnswer.ANSWER_CONFLICT, 4, "zone-b");
        gateway.respond(WorkflowAnswer.ANSWER_DONE, 4, "zone-b");
        gateway.respond(WorkflowAnswer.ANSWER_DONE, 5, "zone-a", "zone-b");
        assertThat(client.changeEvacuation("zone-a", true, TIMEOUT)).isCompleted();
        assertThat(gateway.requests.getLast().getChangeEvacuation().getExpectedVersion())
                .isEqualTo(4);
    }

    /** Returns the given responses one after the other. */
    private static final class ScriptedGateway implements ControlGateway {
        private final Queue<WorkflowResponse> responses = new ArrayDeque<>();
        private final List<WorkflowRequest> requests = new ArrayList<>();

        void respond(WorkflowAnswer answer, long version, String... evacuated) {
            responses.add(WorkflowResponse.newBuilder()
                    .setAnswer(answer)
                    .setEvacuations(EvacuationCodec.encode(Evacuations.of(version, Set.of(evacuated))))
                    .build());
        }

        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            requests.add(request.getWorkflowRequest());
            return CompletableFuture.completedFuture(
                    Frame.newBuilder().setWorkflowResponse(responses.remove()).build());
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }
}
