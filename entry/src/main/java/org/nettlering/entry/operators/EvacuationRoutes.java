package org.nettlering.entry.operators;

import io.vertx.core.Future;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.WorkflowProto.EvacuationChange;
import org.nettlering.wire.proto.WorkflowProto.EvacuationsMessage;
import org.nettlering.wire.proto.WorkflowProto.ReadEvacuations;
import org.nettlering.wire.proto.WorkflowProto.WorkflowAnswer;
import org.nettlering.wire.proto.WorkflowProto.WorkflowRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;

/** Routes that show, start and finish the evacuations of failure domains. Thread-safe. */
final class EvacuationRoutes {
    private final ControlForwarder forwarder;

    private EvacuationRoutes(ControlForwarder forwarder) {
        this.forwarder = forwarder;
    }

    static void register(Router router, ControlForwarder forwarder) {
        EvacuationRoutes routes = new EvacuationRoutes(forwarder);
        router.get("/v1/evacuations").handler(routes::list);
        router.post("/v1/evacuations").handler(routes::change);
    }

    private void list(RoutingContext routing) {
        forward(routing, WorkflowRequest.newBuilder().setReadEvacuations(ReadEvacuations.getDefaultInstance()));
    }

    private void change(RoutingContext routing) {
        EvacuationChange change =
                HttpResponses.parseBody(routing, EvacuationChange.newBuilder()).build();
        forward(routing, WorkflowRequest.newBuilder().setChangeEvacuation(change));
    }

    private void forward(RoutingContext routing, WorkflowRequest.Builder request) {
        forwarder
                .forwardWorkflowRequest(routing, request.build())
                .compose(EvacuationRoutes::evacuationsOf)
                .onSuccess(evacuations -> HttpResponses.sendMessage(routing, 200, evacuations))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }

    private static Future<EvacuationsMessage> evacuationsOf(WorkflowResponse response) {
        if (response.getAnswer() == WorkflowAnswer.ANSWER_CONFLICT) {
            return Future.failedFuture(new NettleringException(
                    ErrorCode.REVISION_CONFLICT,
                    "the evacuations have version " + response.getEvacuations().getVersion()));
        }
        return Future.succeededFuture(response.getEvacuations());
    }
}
