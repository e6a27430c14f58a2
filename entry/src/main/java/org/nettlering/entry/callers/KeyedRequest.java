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
 * The key of one non-idempotent request: reserved before the dispatch, completed at the end.
 *
 * <p>While another attempt holds the key, this one looks again until that attempt has ended or the own deadline passes. Used
 * on the request's own context only.
 */
final class KeyedRequest {
    private static final Duration LOOK_UP_INTERVAL = Duration.ofMillis(50);
    private static final Duration LOOK_UP_TIMEOUT = Duration.ofSeconds(2);

    /** Asks the control members. */
    private final LedgerClient ledger;

    /** The clock. */
    private final TimeSource time;

    /** Where replies are handled. */
    private final Context context;

    /** The key. */
    private final LedgerKey key;

    /** The digest of the request. */
    private final byte[] digest;

    /** When the own answer is due, in monotonic time. */
    private final long deadlineNanos;

    /** The W3C trace context, empty if there is none. */
    private final String traceparent;

    /** This attempt, unique over all entries. */
    private final String attemptId = UUID.randomUUID().toString();

    /** Hears what the ledger said. */
    private final Listener listener;

    /** True when this attempt may hold the key. */
    private boolean mayHoldKey;

    /** True once the outcome was stored or nothing more is wanted. */
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

    /** Returns the digest of a request; of a body beyond the replay bound only what is held counts. */
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

    /** Stores the outcome if this attempt may hold the key; later calls do nothing. */
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
                        ErrorCode.OUTCOME_UNKNOWN, "a request with this key may have run; its outcome is not known"));
            case LedgerResult.ContentMismatch mismatch ->
                listener.onKeyRejected(ErrorResponse.notRun(
                        ErrorCode.OPERATION_REUSED, "the idempotency key was used before for another request"));
            case LedgerResult.Full full ->
                listener.onKeyRejected(
                        ErrorResponse.notRun(ErrorCode.OVERLOADED, "the ledger of idempotency keys is full"));
            case LedgerResult.OutcomeStored stored ->
                listener.onKeyRejected(ErrorResponse.notRun(ErrorCode.INTERNAL, "the ledger gave an unexpected reply"));
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

    private ErrorResponse ledgerFailure() {
        RequestOutcome outcome = mayHoldKey ? RequestOutcome.NOT_RUN : RequestOutcome.UNKNOWN;
        String message = "the ledger of idempotency keys did not answer in time";
        return new ErrorResponse(ErrorCode.NO_LEADER, outcome, message, ErrorResponse.DEFAULT_RETRY_AFTER);
    }

    /** Hears what the ledger said, on the request's own context. */
    interface Listener {
        /** The request may be dispatched. */
        void onKeyReserved();

        /** The request ran before, with this answer. */
        void onStoredResponse(StoredResponse response);

        /** The request is not dispatched. */
        void onKeyRejected(ErrorResponse response);
    }
}
