package org.nettlering.control.ledger;

import java.util.concurrent.CompletionStage;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.log.FrameService;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerState;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.wire.codec.LedgerCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.CompleteKey;
import org.nettlering.wire.proto.RequestProto.LedgerCommand;
import org.nettlering.wire.proto.RequestProto.LedgerRequest;
import org.nettlering.wire.proto.RequestProto.LedgerResponse;
import org.nettlering.wire.proto.RequestProto.LookUpKey;
import org.nettlering.wire.proto.RequestProto.ReserveKey;

/**
 * Answers the entries' questions about idempotency keys.
 *
 * <p>Reservations and outcomes go through the log, stamped with the leader's clock; a look-up is a linearizable read.
 * Thread-safe.
 */
public final class LedgerService implements FrameService {
    /** The replicated log. */
    private final CommandLog log;

    /** The ledger of this member. */
    private final LedgerState state;

    /** Stamps the commands. */
    private final TimeSource time;

    /**
     * Creates the service.
     *
     * @param log the replicated log, not null
     * @param part the ledger in the replicated state, not null
     * @param time the clock, not null
     * @return a new service, never null
     */
    public static LedgerService of(CommandLog log, LedgerPart part, TimeSource time) {
        return new LedgerService(log, part.state(), time);
    }

    private LedgerService(CommandLog log, LedgerState state, TimeSource time) {
        this.log = log;
        this.state = state;
        this.time = time;
    }

    @Override
    public CompletionStage<Frame> handle(Frame request) {
        LedgerRequest body = request.getLedgerRequest();
        CompletionStage<LedgerResponse> response = switch (body.getRequestCase()) {
            case RESERVE -> reserve(body.getReserve());
            case COMPLETE -> complete(body.getComplete());
            case LOOK_UP -> lookUp(body.getLookUp());
            case REQUEST_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the ledger request is empty");
        };
        return response.thenApply(
                message -> Frame.newBuilder().setLedgerResponse(message).build());
    }

    private CompletionStage<LedgerResponse> reserve(ReserveKey message) {
        ReserveKey stamped = message.toBuilder().setTimeUnixMillis(nowMillis()).build();
        LedgerCodec.toReservation(stamped);
        return propose(LedgerCommand.newBuilder().setReserve(stamped));
    }

    private CompletionStage<LedgerResponse> complete(CompleteKey message) {
        CompleteKey stamped = message.toBuilder().setTimeUnixMillis(nowMillis()).build();
        requireKey(stamped.getService(), stamped.getKey());
        return propose(LedgerCommand.newBuilder().setComplete(stamped));
    }

    private CompletionStage<LedgerResponse> lookUp(LookUpKey message) {
        LedgerKey key = requireKey(message.getService(), message.getKey());
        return log.confirmLeadership().thenApply(ignored -> LedgerCodec.toMessage(state.lookUp(key, time.instant())));
    }

    private CompletionStage<LedgerResponse> propose(LedgerCommand.Builder command) {
        return log.propose(SiteCommand.newBuilder().setLedger(command).build()).thenApply(result -> result.getLedger());
    }

    /** Checks the key before it reaches the log, where a fault would stop every member. */
    private static LedgerKey requireKey(String service, String key) {
        return new LedgerKey(service, key);
    }

    private long nowMillis() {
        return time.instant().toEpochMilli();
    }
}
