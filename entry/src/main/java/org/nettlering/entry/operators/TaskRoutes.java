package org.nettlering.entry.operators;

import com.google.protobuf.MessageOrBuilder;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Function;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.TaskProto.CancelJob;
import org.nettlering.wire.proto.TaskProto.ListJobs;
import org.nettlering.wire.proto.TaskProto.ShowJob;
import org.nettlering.wire.proto.TaskProto.ShowPower;
import org.nettlering.wire.proto.TaskProto.ShowWorker;
import org.nettlering.wire.proto.TaskProto.SubmitJob;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.TaskResponse;

/** Submits, shows and cancels jobs; shows workers and power. Thread-safe. */
final class TaskRoutes {
    /** Reaches the control leader. */
    private final ControlForwarder forwarder;

    private TaskRoutes(ControlForwarder forwarder) {
        this.forwarder = forwarder;
    }

    static void register(Router router, ControlForwarder forwarder) {
        TaskRoutes routes = new TaskRoutes(forwarder);
        router.post("/v1/jobs").handler(routes::submit);
        router.get("/v1/jobs").handler(routes::list);
        router.get("/v1/jobs/:job").handler(routes::show);
        router.delete("/v1/jobs/:job").handler(routes::cancel);
        router.get("/v1/workers/:worker").handler(routes::showWorker);
        router.get("/v1/power").handler(routes::showPower);
    }

    static TaskRequest showPowerRequest() {
        return TaskRequest.newBuilder()
                .setShowPower(ShowPower.getDefaultInstance())
                .build();
    }

    private void submit(RoutingContext routing) {
        SubmitJob submit =
                HttpResponses.parseBody(routing, SubmitJob.newBuilder()).build();
        requireOperationId(submit.getOperationId());
        TaskRequest request = TaskRequest.newBuilder().setSubmit(submit).build();
        forward(routing, request, TaskResponse::getJob);
    }

    private void list(RoutingContext routing) {
        TaskRequest request =
                TaskRequest.newBuilder().setList(ListJobs.getDefaultInstance()).build();
        forward(routing, request, TaskResponse::getJobs);
    }

    private void show(RoutingContext routing) {
        ShowJob show = ShowJob.newBuilder().setJobId(routing.pathParam("job")).build();
        forward(routing, TaskRequest.newBuilder().setShow(show).build(), TaskResponse::getJob);
    }

    private void cancel(RoutingContext routing) {
        String operationId = routing.request().getParam("operation_id", "");
        requireOperationId(operationId);
        CancelJob cancel = CancelJob.newBuilder()
                .setOperationId(operationId)
                .setJobId(routing.pathParam("job"))
                .build();
        forward(routing, TaskRequest.newBuilder().setCancel(cancel).build(), TaskResponse::getJob);
    }

    private void showWorker(RoutingContext routing) {
        ShowWorker show =
                ShowWorker.newBuilder().setWorkerId(routing.pathParam("worker")).build();
        forward(routing, TaskRequest.newBuilder().setShowWorker(show).build(), TaskResponse::getWorker);
    }

    private void showPower(RoutingContext routing) {
        forward(routing, showPowerRequest(), TaskResponse::getPower);
    }

    private void forward(
            RoutingContext routing, TaskRequest request, Function<TaskResponse, MessageOrBuilder> responsePart) {
        forwarder
                .forwardTaskRequest(routing, request)
                .onSuccess(response -> HttpResponses.sendMessage(routing, 200, responsePart.apply(response)))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }

    private static void requireOperationId(String operationId) {
        if (operationId.isBlank()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "operation_id is missing");
        }
    }
}
