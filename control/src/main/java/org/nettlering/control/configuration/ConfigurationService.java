package org.nettlering.control.configuration;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.log.FrameService;
import org.nettlering.domain.configuration.ConfigurationState;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.codec.ConfigurationCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResponse;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.ExplainRevision;
import org.nettlering.wire.proto.ConfigurationProto.ExplainService;
import org.nettlering.wire.proto.ConfigurationProto.FetchConfiguration;
import org.nettlering.wire.proto.ConfigurationProto.RevisionRecords;
import org.nettlering.wire.proto.FrameProto.Frame;

/**
 * Answers requests about the configuration.
 *
 * <p>A fetch and an explanation are linearizable unless the caller asks for the local
 * state of this member, which is refused while it leaves out entries of the member's own log. Thread-safe.
 */
public final class ConfigurationService implements FrameService {
    /** The replicated log. */
    private final CommandLog log;

    /** The replicated configuration. */
    private final ConfigurationState state;

    /** Stamps the operations. */
    private final TimeSource time;

    /**
     * Creates a service.
     *
     * @param log the replicated log, not null
     * @param part the replicated configuration, not null
     * @param time the clock that stamps operations, not null
     * @return a new service, never null
     */
    public static ConfigurationService of(CommandLog log, ConfigurationPart part, TimeSource time) {
        return new ConfigurationService(log, part.state(), time);
    }

    private ConfigurationService(CommandLog log, ConfigurationState state, TimeSource time) {
        this.log = log;
        this.state = state;
        this.time = time;
    }

    @Override
    public CompletionStage<Frame> handle(Frame request) {
        ConfigurationRequest body = request.getConfigurationRequest();
        CompletionStage<ConfigurationResponse> response = switch (body.getRequestCase()) {
            case FETCH -> fetch(body.getFetch());
            case CHANGE -> change(body.getChange());
            case EXPLAIN -> explain(body.getExplain());
            case EXPLAIN_SERVICE -> explainService(body.getExplainService());
            case REQUEST_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the configuration request is empty");
        };
        return response.thenApply(
                message -> Frame.newBuilder().setConfigurationResponse(message).build());
    }

    private CompletionStage<ConfigurationResponse> fetch(FetchConfiguration fetch) {
        CompletionStage<?> ready = fetch.getLocal() ? confirmWholeLogApplied() : log.confirmLeadership();
        return ready.thenApply(ignored -> ConfigurationResponse.newBuilder()
                .setUpdate(updateSince(fetch.getKnownRevision()))
                .build());
    }

    /** Refuses while an entry of this member's log, which may be committed, is missing from its state. */
    private CompletionStage<Void> confirmWholeLogApplied() {
        if (log.hasAppliedWholeLog()) {
            return CompletableFuture.completedStage(null);
        }
        return CompletableFuture.failedStage(new NettleringException(
                ErrorCode.CONFIGURATION_STALE, "this member holds log entries that it has not applied"));
    }

    private ConfigurationUpdate updateSince(long knownRevision) {
        ConfigurationUpdate.Builder update = ConfigurationUpdate.newBuilder();
        state.differencesSince(knownRevision)
                .ifPresentOrElse(
                        records ->
                                records.forEach(record -> update.addDifferences(ConfigurationCodec.toMessage(record))),
                        () -> update.setFull(ConfigurationCodec.toMessage(state.current())));
        return update.setRevision(revisionAfter(update, knownRevision)).build();
    }

    /** Names the revision that the update leads to, which a change made meanwhile must not raise. */
    private static long revisionAfter(ConfigurationUpdate.Builder update, long knownRevision) {
        if (update.hasFull()) {
            return update.getFull().getRevision();
        }
        if (update.getDifferencesCount() == 0) {
            return knownRevision;
        }
        return update.getDifferences(update.getDifferencesCount() - 1).getRevision();
    }

    private CompletionStage<ConfigurationResponse> change(ConfigurationCommand change) {
        ConfigurationCommand command = change.toBuilder()
                .setTimeUnixMillis(time.instant().toEpochMilli())
                .build();
        ConfigurationCodec.toOperation(command);
        return log.propose(SiteCommand.newBuilder().setConfiguration(command).build())
                .thenApply(result -> ConfigurationResponse.newBuilder()
                        .setResult(result.getConfiguration())
                        .build());
    }

    private CompletionStage<ConfigurationResponse> explain(ExplainRevision explain) {
        return log.confirmLeadership()
                .thenApply(ignored -> state.record(explain.getRevision())
                        .map(record -> ConfigurationResponse.newBuilder()
                                .setRecord(ConfigurationCodec.toMessage(record))
                                .build())
                        .orElseThrow(() -> new NettleringException(
                                ErrorCode.NOT_FOUND,
                                "revision " + explain.getRevision()
                                        + " is not among the kept ones; the current revision is "
                                        + state.current().revision())));
    }

    private CompletionStage<ConfigurationResponse> explainService(ExplainService explain) {
        return log.confirmLeadership().thenApply(ignored -> {
            RevisionRecords.Builder records = RevisionRecords.newBuilder();
            state.revisionsOfService(explain.getService())
                    .forEach(record -> records.addRecords(ConfigurationCodec.toMessage(record)));
            return ConfigurationResponse.newBuilder().setRecords(records).build();
        });
    }
}
