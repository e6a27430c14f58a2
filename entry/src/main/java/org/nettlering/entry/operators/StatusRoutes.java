package org.nettlering.entry.operators;

import io.vertx.core.Future;
import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import java.util.function.Consumer;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.wire.proto.OperatorProto.SiteStatus;

/** Shows the state of the site, the metrics and the readiness of the entry. Thread-safe. */
final class StatusRoutes {
    private static final int OK = 200;

    private static final int SERVICE_UNAVAILABLE = 503;

    /** The parts of the entry. */
    private final OperatorServices services;

    /** Reaches the control leader. */
    private final ControlForwarder forwarder;

    private StatusRoutes(OperatorServices services, ControlForwarder forwarder) {
        this.services = services;
        this.forwarder = forwarder;
    }

    static void register(Router router, OperatorServices services, ControlForwarder forwarder) {
        StatusRoutes routes = new StatusRoutes(services, forwarder);
        router.get("/v1/status").handler(routes::status);
        router.get("/metrics").handler(routes::metrics);
        router.get("/ready").handler(routes::ready);
    }

    private void status(RoutingContext routing) {
        ReadinessReport readiness = services.readiness().get();
        SiteStatus.Builder status = SiteStatus.newBuilder()
                .setEntryId(services.entryId())
                .setEntryReady(readiness.ready())
                .setEntryReason(readiness.reason());
        Future.all(
                        addPart(
                                status,
                                "members",
                                forwarder.forwardMembershipRequest(routing, MemberRoutes.list()),
                                status::setMembership),
                        addPart(
                                status,
                                "power",
                                forwarder.forwardTaskRequest(routing, TaskRoutes.showPowerRequest()),
                                response -> status.setPower(response.getPower())),
                        addPart(
                                status,
                                "configuration",
                                forwarder.forwardConfigurationRequest(
                                        routing, ConfigurationRoutes.fetchFullConfiguration()),
                                response -> status.setConfigurationRevision(
                                        response.getUpdate().getRevision())))
                .onComplete(done -> HttpResponses.sendMessage(routing, OK, status));
    }

    /** Adds a part to the status, or the reason why it is missing. */
    private static <T> Future<Void> addPart(
            SiteStatus.Builder status, String name, Future<T> response, Consumer<T> consumer) {
        return response.<Void>map(value -> {
                    consumer.accept(value);
                    return null;
                })
                .recover(error -> {
                    status.addProblems(name + ": " + HttpResponses.codeOf(error).text() + ": " + error.getMessage());
                    return Future.succeededFuture();
                });
    }

    private void metrics(RoutingContext routing) {
        routing.response()
                .putHeader("Content-Type", Metrics.CONTENT_TYPE)
                .end(services.metrics().scrape());
    }

    private void ready(RoutingContext routing) {
        ReadinessReport readiness = services.readiness().get();
        JsonObject body = new JsonObject().put("ready", readiness.ready()).put("reason", readiness.reason());
        routing.response()
                .setStatusCode(readiness.ready() ? OK : SERVICE_UNAVAILABLE)
                .putHeader("Content-Type", "application/json")
                .end(body.encode() + "\n");
    }
}
