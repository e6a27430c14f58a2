package org.nettlering.entry.testing;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.configuration.ConfigurationChange;
import org.nettlering.domain.configuration.ConfigurationOperation;
import org.nettlering.domain.configuration.ConfigurationState;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerResult;
import org.nettlering.domain.ledger.LedgerState;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.codec.ConfigurationCodec;
import org.nettlering.wire.codec.LedgerCodec;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationResponse;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.FetchConfiguration;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.LedgerRequest;
import org.nettlering.wire.transport.ControlGateway;

/** Three in-memory control members that can lose their leader, become unreachable or stop responding. */
public final class FakeControl implements ControlGateway {
    private static final int MEMBERS = 3;

    private final TimeSource time;
    private final ConfigurationState configuration = ConfigurationState.create();
    private final LedgerState ledger = LedgerState.create();

    /** How many members respond to {@link #callEveryMember}. */
    private volatile int reachableMembers = MEMBERS;

    private volatile boolean hasLeader = true;

    /** True while all requests time out. */
    private volatile boolean unresponsive;

    /** Returned instead of the current revision unless negative. */
    private volatile long forcedRevision = -1;

    public FakeControl(TimeSource time) {
        this.time = time;
    }

    /** Returns the current revision of the configuration. */
    public long revision() {
        return configuration.current().revision();
    }

    /** Applies changes as one operation. */
    public void applyChanges(ConfigurationChange... changes) {
        long revision = revision();
        configuration.apply(new ConfigurationOperation(
                "operation-" + revision, "test", revision, List.of(changes), Instant.EPOCH, "digest"));
    }

    /** Sets whether there is a leader. */
    public void setHasLeader(boolean present) {
        hasLeader = present;
    }

    /** Sets how many members respond to {@link #callEveryMember}. */
    public void setReachableMembers(int count) {
        reachableMembers = count;
    }

    /** Sets whether all requests time out. */
    public void setUnresponsive(boolean isUnresponsive) {
        unresponsive = isUnresponsive;
    }

    /** Makes the leader return a full configuration with the given revision. */
    public void forceRevision(long revision) {
        forcedRevision = revision;
    }

    public LedgerState ledger() {
        return ledger;
    }

    @Override
    public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
        if (unresponsive) {
            return timeOut(timeout);
        }
        if (!hasLeader) {
            return CompletableFuture.failedStage(new NettleringException(ErrorCode.NO_LEADER, "no leader"));
        }
        return CompletableFuture.completedStage(respond(request));
    }

    @Override
    public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
        List<CompletionStage<Frame>> stages = new ArrayList<>();
        for (int member = 0; member < MEMBERS; member++) {
            boolean responds = !unresponsive && member < reachableMembers;
            stages.add(responds ? CompletableFuture.completedStage(respond(request)) : timeOut(timeout));
        }
        return stages;
    }

    private CompletionStage<Frame> timeOut(Duration timeout) {
        CompletableFuture<Frame> future = new CompletableFuture<>();
        time.schedule(
                timeout,
                () -> future.completeExceptionally(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "timeout")));
        return future;
    }

    private Frame respond(Frame request) {
        if (request.hasLedgerRequest()) {
            return Frame.newBuilder()
                    .setLedgerResponse(LedgerCodec.toMessage(respond(request.getLedgerRequest())))
                    .build();
        }
        ConfigurationUpdate update = update(request.getConfigurationRequest().getFetch());
        return Frame.newBuilder()
                .setConfigurationResponse(ConfigurationResponse.newBuilder().setUpdate(update))
                .build();
    }

    private LedgerResult respond(LedgerRequest request) {
        return switch (request.getRequestCase()) {
            case RESERVE ->
                ledger.reserve(LedgerCodec.toReservation(request.getReserve().toBuilder()
                        .setTimeUnixMillis(time.instant().toEpochMilli())
                        .build()));
            case COMPLETE ->
                ledger.complete(
                        new LedgerKey(
                                request.getComplete().getService(),
                                request.getComplete().getKey()),
                        request.getComplete().getAttemptId(),
                        LedgerCodec.toOutcome(request.getComplete()),
                        LedgerCodec.toAnswer(request.getComplete()),
                        time.instant());
            case LOOK_UP ->
                ledger.lookUp(
                        new LedgerKey(
                                request.getLookUp().getService(),
                                request.getLookUp().getKey()),
                        time.instant());
            case REQUEST_NOT_SET -> throw new IllegalArgumentException("empty ledger request");
        };
    }

    private ConfigurationUpdate update(FetchConfiguration fetch) {
        if (forcedRevision >= 0) {
            return ConfigurationUpdate.newBuilder()
                    .setRevision(forcedRevision)
                    .setFull(ConfigurationCodec.toMessage(configuration.current()).toBuilder()
                            .setRevision(forcedRevision))
                    .build();
        }
        ConfigurationUpdate.Builder update = ConfigurationUpdate.newBuilder().setRevision(revision());
        configuration
                .differencesSince(fetch.getKnownRevision())
                .ifPresentOrElse(
                        records ->
                                records.forEach(record -> update.addDifferences(ConfigurationCodec.toMessage(record))),
                        () -> update.setFull(ConfigurationCodec.toMessage(configuration.current())));
        return update.build();
    }
}
