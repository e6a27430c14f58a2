package org.nettlering.entry.callers;

import io.vertx.core.Context;
import io.vertx.core.buffer.Buffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Duration;
import java.util.UUID;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.ledger.KeyOutcome;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerResult;
import org.nettlering.domain.ledger.StoredResponse;
import org.nettlering.domain.retry.RequestOutcome;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.entry.ledger.LedgerClient;

/**
 * Reserves the idempotency key of one non-idempotent request before the request is dispatched, and stores the outcome at its
 * end.
 *
 * <p>An attempt is one request of a caller with the key; a repetition by the caller is another attempt, which is not
 * dispatched if the first one has run or may have run. While another attempt holds the key, the key is looked up every
 * {@link #LOOK_UP_INTERVAL} until that attempt ends or this request's deadline passes. Confined to the Vert.x context
 * of the request.
 */
final class KeyedRequest {
    private static final Duration LOOK_UP_INTERVAL = Duration.ofMillis(50);
    private static final Duration LOOK_UP_TIMEOUT = Duration.ofSeconds(2);

    private final LedgerClient ledger;
    private final TimeSource time;

    /** The context that ledger responses are handled on. */
    private final Context context;

    private final LedgerKey key;
    private final byte[] digest;

    /** The deadline of this request, in monotonic time. */
    private final long deadlineNanos;

    /** The W3C trace context, empty if none. */
    private final String traceparent;

    /** Identifies this attempt to the ledger; unique across all entries. */
    private final String attemptId = UUID.randomUUID().toString();

    private final Listener listener;

    /** True while this attempt may hold the key: from sending a reservation until the ledger responds that it does not. */
    private boolean mayHoldKey;

    /** True once {@link #complete} was called; later responses of the ledger are ignored. */
    private boolean ended;

    KeyedRequest(
            LedgerClient ledger,
            TimeSource time,
            Context context,
            LedgerKey key,
            byte[] digest,
            long deadlineNanos,
            String traceparent,
            Listener listener) {
        this.traceparent = traceparent;
        this.ledger = ledger;
        this.time = time;
        this.context = context;
        this.key = key;
        this.digest = digest.clone();
        this.deadlineNanos = deadlineNanos;
        this.listener = listener;
    }

    /**
     * Returns the digest of a request; of a body larger than the limit for replay on a retry, it covers only the buffered
     * beginning.
     */
    static byte[] digest(RequestHead head, Buffer body) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            String text =
                    head.method().name() + "\n" + head.host() + "\n" + head.uri() + "\n" + head.contentLength() + "\n";
            digest.update(text.getBytes(StandardCharsets.UTF_8));
            digest.update(body.getBytes());
            return digest.digest();
        } catch (NoSuchAlgorithmException exception) {
            throw new NettleringException(ErrorCode.INTERNAL, "SHA-256 is missing", exception);
        }
    }

    void reserve() {
        mayHoldKey = true;
        whenComplete(ledger.reserve(key, digest, attemptId, remaining(), traceparent), this::handleReservation);
    }

    /** Stores the outcome if this attempt may hold the key; later calls have no effect. */
    void complete(KeyOutcome outcome, @Nullable StoredResponse response) {
        if (ended) {
            return;
        }
        ended = true;
        if (mayHoldKey) {
            ledger.complete(key, attemptId, outcome, response);
        }
    }

    private void handleReservation(LedgerResult result) {
        if (!(result instanceof LedgerResult.Reserved)) {
            mayHoldKey = false;
        }
        handleResult(result);
    }

    private void handleResult(LedgerResult result) {
        if (ended) {
            return;
        }
        switch (result) {
            case LedgerResult.Reserved reserved -> listener.onKeyReserved();
            case LedgerResult.Completed(StoredResponse response) -> listener.onStoredResponse(response);
            case LedgerResult.InFlight inFlight -> scheduleLookUp();
            case LedgerResult.Absent absent -> reserve();
            case LedgerResult.Unknown unknown ->
                listener.onKeyRejected(ErrorResponse.unknown(
                        ErrorCode.OUTCOME_UNKNOWN,
                        "a request with this idempotency key may have run; its outcome is unknown"));
            case LedgerResult.ContentMismatch mismatch ->
                listener.onKeyRejected(ErrorResponse.notRun(
                        ErrorCode.OPERATION_REUSED, "the idempotency key was used before for a different request"));
            case LedgerResult.Full full ->
                listener.onKeyRejected(
                        ErrorResponse.notRun(ErrorCode.OVERLOADED, "the ledger of idempotency keys is full"));
            // Only the completion of a key has this result.
            case LedgerResult.OutcomeStored stored ->
                listener.onKeyRejected(ErrorResponse.notRun(
                        ErrorCode.INTERNAL, "the ledger of idempotency keys gave an unexpected response"));
        }
    }

    private void scheduleLookUp() {
        time.schedule(LOOK_UP_INTERVAL, () -> context.runOnContext(nothing -> lookUp()));
    }

    private void lookUp() {
        if (ended) {
            return;
        }
        Duration remaining = remaining();
        Duration timeout = remaining.compareTo(LOOK_UP_TIMEOUT) < 0 ? remaining : LOOK_UP_TIMEOUT;
        whenComplete(ledger.lookUp(key, timeout), this::handleResult);
    }

    /** Returns the time until the deadline of this request, at least 1 ms. */
    private Duration remaining() {
        return Duration.ofNanos(Math.max(1_000_000L, deadlineNanos - time.nanoTime()));
    }

    private void whenComplete(CompletionStage<LedgerResult> stage, Consumer<LedgerResult> action) {
        stage.whenComplete((result, error) -> context.runOnContext(nothing -> {
            if (ended) {
                return;
            }
            if (error == null) {
                action.accept(result);
                return;
            }
            listener.onKeyRejected(ledgerFailure());
        }));
    }

    /**
     * Returns the response after a failed call of the ledger. If a reservation failed, this request is not dispatched; if a
     * lookup failed, the attempt that holds the key may have run.
     */
    private ErrorResponse ledgerFailure() {
        RequestOutcome outcome = mayHoldKey ? RequestOutcome.NOT_RUN : RequestOutcome.UNKNOWN;
        String message = "the ledger of idempotency keys did not respond in time";
        return new ErrorResponse(ErrorCode.NO_LEADER, outcome, message, ErrorResponse.DEFAULT_RETRY_AFTER);
    }

    /** Receives the result of the reservation or of the lookups that follow it, on the context of the request. */
    interface Listener {
        /** Called when the request may be dispatched. */
        void onKeyReserved();

        /** Called when the request ran before, with its stored response. */
        void onStoredResponse(StoredResponse response);

        /** Called when the request must not be dispatched. */
        void onKeyRejected(ErrorResponse response);
    }
}
