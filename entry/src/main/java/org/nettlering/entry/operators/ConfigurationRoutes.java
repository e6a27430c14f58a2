package org.nettlering.entry.operators;

import io.vertx.ext.web.Router;
import io.vertx.ext.web.RoutingContext;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResult;
import org.nettlering.wire.proto.ConfigurationProto.ExplainRevision;
import org.nettlering.wire.proto.ConfigurationProto.ExplainService;
import org.nettlering.wire.proto.ConfigurationProto.FetchConfiguration;

/** Shows, changes and explains the configuration. Thread-safe. */
final class ConfigurationRoutes {
    /** No revision reaches this number, so that the answer to it is always a full copy. */
    private static final long NO_KNOWN_REVISION = Long.MAX_VALUE;

    /** Reaches the control leader. */
    private final ControlForwarder forwarder;

    private ConfigurationRoutes(ControlForwarder forwarder) {
        this.forwarder = forwarder;
    }

    static void register(Router router, ControlForwarder forwarder) {
        ConfigurationRoutes routes = new ConfigurationRoutes(forwarder);
        router.get("/v1/configuration").handler(routes::show);
        router.post("/v1/configuration/changes").handler(routes::change);
        router.get("/v1/configuration/revisions/:revision").handler(routes::explainRevision);
        router.get("/v1/configuration/services/:service/revisions").handler(routes::explainService);
    }

    static ConfigurationRequest fetchFullConfiguration() {
        FetchConfiguration fetch = FetchConfiguration.newBuilder()
                .setKnownRevision(NO_KNOWN_REVISION)
                .build();
        return ConfigurationRequest.newBuilder().setFetch(fetch).build();
    }

    private void show(RoutingContext routing) {
        forwarder
                .forwardConfigurationRequest(routing, fetchFullConfiguration())
                .onSuccess(response -> HttpResponses.sendMessage(
                        routing, 200, response.getUpdate().getFull()))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }

    private void change(RoutingContext routing) {
        ConfigurationCommand command = HttpResponses.parseBody(routing, ConfigurationCommand.newBuilder())
                .build();
        if (command.getOperationId().isBlank()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "operation_id is missing");
        }
        forwarder
                .forwardConfigurationRequest(
                        routing,
                        ConfigurationRequest.newBuilder().setChange(command).build())
                .onSuccess(response -> sendResult(routing, response.getResult()))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }

    private static void sendResult(RoutingContext routing, ConfigurationResult result) {
        if (result.getErrorCode().isEmpty()) {
            HttpResponses.sendMessage(routing, 200, result);
            return;
        }
        ErrorCode code = ErrorCode.fromText(result.getErrorCode());
        routing.response().putHeader("Nettlering-Error", code.text()).putHeader("Nettlering-Outcome", "not-run");
        HttpResponses.sendMessage(routing, code.httpStatus(), result);
    }

    private void explainRevision(RoutingContext routing) {
        ExplainRevision explain = ExplainRevision.newBuilder()
                .setRevision(parseRevision(routing.pathParam("revision")))
                .build();
        forwarder
                .forwardConfigurationRequest(
                        routing,
                        ConfigurationRequest.newBuilder().setExplain(explain).build())
                .onSuccess(response -> HttpResponses.sendMessage(routing, 200, response.getRecord()))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }

    private void explainService(RoutingContext routing) {
        ExplainService explain = ExplainService.newBuilder()
                .setService(routing.pathParam("service"))
                .build();
        forwarder
                .forwardConfigurationRequest(
                        routing,
                        ConfigurationRequest.newBuilder()
                                .setExplainService(explain)
                                .build())
                .onSuccess(response -> HttpResponses.sendMessage(routing, 200, response.getRecords()))
                .onFailure(error -> HttpResponses.sendError(routing, error));
    }

    private static long parseRevision(String text) {
        try {
            return Long.parseUnsignedLong(text);
        } catch (NumberFormatException exception) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "\"" + text + "\" is no revision number", exception);
        }
    }
}
