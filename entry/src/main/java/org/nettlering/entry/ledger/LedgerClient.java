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

/** Client of the replicated ledger of idempotency keys. Thread-safe. */
public final class LedgerClient {
    private static final Duration COMPLETION_TIMEOUT = Duration.ofSeconds(30);
    private static final EventLogger LOGGER = EventLogger.of(LedgerClient.class);

    private final ControlGateway gateway;
    private final String entryId;

    /**
     * Creates a client.
     *
     * @param gateway the connection to the control members, not null
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
     * Reserves a key before the request is dispatched; idempotent for the same attempt.
     *
     * @param key the key, not null
     * @param digest the digest of the request's content, not null
     * @param attemptId the id of the attempt, not null
     * @param timeout how long the attempt waits for the response, not null
     * @param traceparent the W3C trace context, empty if none, not null
     * @return the result; a failure means that the request must not be dispatched, never null
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
     * Looks up the state of a key.
     *
     * @param key the key, not null
     * @param timeout how long to wait, not null
     * @return the result, never null
     */
    public CompletionStage<LedgerResult> lookUp(LedgerKey key, Duration timeout) {
        LookUpKey lookUp = LookUpKey.newBuilder()
                .setService(key.service())
                .setKey(key.key())
                .build();
        return call(LedgerRequest.newBuilder().setLookUp(lookUp), timeout, "");
    }

    /**
     * Stores the outcome of an attempt in the background; a failure is logged after the retries have timed out.
     *
     * @param key the key, not null
     * @param attemptId the id of the attempt, not null
     * @param outcome the outcome, not null
     * @param response the response to store, null if there is none
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
