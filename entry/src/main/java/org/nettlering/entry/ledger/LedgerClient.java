package org.nettlering.entry.ledger;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.util.concurrent.CompletionStage;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.ledger.KeyOutcome;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerResult;
import org.nettlering.domain.ledger.StoredResponse;
import org.nettlering.entry.EntryEvent;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.LedgerCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.LedgerRequest;
import org.nettlering.wire.proto.RequestProto.LookUpKey;
import org.nettlering.wire.proto.RequestProto.ReserveKey;
import org.nettlering.wire.transport.ControlGateway;

/** Asks the control members about idempotency keys. Thread-safe. */
public final class LedgerClient {
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(30);
    private static final EventLogger LOGGER = EventLogger.of(LedgerClient.class);

    /** The control members. */
    private final ControlGateway gateway;

    /** The id of this entry. */
    private final String entryId;

    /**
     * Creates a client.
     *
     * @param gateway the control members, not null
     * @param entryId the id of this entry, not null
     * @return a new client, never null
     */
    public static LedgerClient of(ControlGateway gateway, String entryId) {
        return new LedgerClient(gateway, entryId);
    }

    private LedgerClient(ControlGateway gateway, String entryId) {
        this.gateway = gateway;
        this.entryId = entryId;
    }

    /**
     * Takes a key before the dispatch; safe to repeat for the same attempt.
     *
     * @param key the key, not null
     * @param digest the digest of the request, not null
     * @param attemptId the attempt, not null
     * @param timeout how long the attempt waits for its answer, not null
     * @param traceparent the W3C trace context, empty if there is none, not null
     * @return the reply; a failure means that the request must not be dispatched, never null
     */
    public CompletionStage<LedgerResult> reserve(
            LedgerKey key, byte[] digest, String attemptId, Duration timeout, String traceparent) {
        ReserveKey reserve = ReserveKey.newBuilder()
                .setService(key.service())
                .setKey(key.key())
                .setContentDigest(ByteString.copyFrom(digest))
                .setEntryId(entryId)
                .setAttemptId(attemptId)
                .setTimeoutMillis(Math.toIntExact(timeout.toMillis()))
                .build();
        return call(LedgerRequest.newBuilder().setReserve(reserve), timeout, traceparent);
    }

    /**
     * Reads what is known of a key.
     *
     * @param key the key, not null
     * @param timeout how long to wait, not null
     * @return the reply, never null
     */
    public CompletionStage<LedgerResult> lookUp(LedgerKey key, Duration timeout) {
        LookUpKey lookUp = LookUpKey.newBuilder()
                .setService(key.service())
                .setKey(key.key())
                .build();
        return call(LedgerRequest.newBuilder().setLookUp(lookUp), timeout, "");
    }

    /**
     * Stores how an attempt ended; tried again in the background until it is stored or hopeless.
     *
     * @param key the key, not null
     * @param attemptId the attempt, not null
     * @param outcome how it ended, not null
     * @param response the answer, null unless there is one
     */
    public void complete(LedgerKey key, String attemptId, KeyOutcome outcome, @Nullable StoredResponse response) {
        LedgerRequest.Builder request =
                LedgerRequest.newBuilder().setComplete(LedgerCodec.toMessage(key, attemptId, outcome, response));
        call(request, COMPLETION_TIMEOUT, "").whenComplete((result, error) -> {
            if (error != null) {
                LOGGER.log(EntryEvent.LEDGER_OUTCOME_NOT_STORED, key.service(), error.toString());
            }
        });
    }

    private CompletionStage<LedgerResult> call(LedgerRequest.Builder request, Duration timeout, String traceparent) {
        Frame frame = Frame.newBuilder()
                .setTraceparent(traceparent)
                .setLedgerRequest(request)
                .build();
        return gateway.callLeader(frame, true, timeout)
                .thenApply(response -> LedgerCodec.toReply(response.getLedgerResponse()));
    }
}
