package org.nettlering.entry.operators;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import io.vertx.ext.web.handler.BodyHandler;
import java.time.Duration;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.TaskResponse;
import org.nettlering.wire.proto.TaskProto.WorkerReport;
import org.nettlering.wire.transport.ControlGateway;

/**
 * Takes the reports of workers at {@code POST /v1/worker-reports} and answers with the leader's commands.
 *
 * <p>A report may be repeated: its worker, incarnation and sequence number name it. Thread-safe.
 */
public final class WorkerReportRoutes {
    /** The path of reports. */
    public static final String PATH = "/v1/worker-reports";

    private static final long MAX_BODY_BYTES = 1024 * 1024;

    private static final Duration DEFAULT_TIMEOUT = Duration.ofSeconds(5);

    /** Reaches the control leader. */
    private final ControlForwarder forwarder;

    private WorkerReportRoutes(ControlForwarder forwarder) {
        this.forwarder = forwarder;
    }

    /**
     * Adds the route.
     *
     * @param router the router of the platform port, not null
     * @param gateway reaches the control leader, not null
     * @param telemetry starts the spans, not null
     */
    public static void register(Router router, ControlGateway gateway, Telemetry telemetry) {
        WorkerReportRoutes routes = new WorkerReportRoutes(new ControlForwarder(gateway, telemetry, DEFAULT_TIMEOUT));
        router.post(PATH)
                .handler(BodyHandler.create(false).setBodyLimit(MAX_BODY_BYTES))
                .handler(routing -> HttpResponses.startSpan(routing, telemetry))
                .handler(routes::report)
                .failureHandler(HttpResponses::handleRouterFailure);
    }

    private void report(RoutingContext routing) {
        WorkerReport report =
                HttpResponses.parseBody(routing, WorkerReport.newBuilder()).build();
        forwarder
                .forwardTaskRequest(
                        routing, TaskRequest.newBuilder().setReport(report).build())
                .map(TaskResponse::getReport)
                .onSuccess(response -> HttpResponses.sendCompactMessage(routing, response))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }
}
