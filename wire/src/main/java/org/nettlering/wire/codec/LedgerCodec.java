package org.nettlering.wire.codec;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.HexFormat;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.ledger.KeyOutcome;
import org.nettlering.domain.ledger.LedgerEntry;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerResult;
import org.nettlering.domain.ledger.LedgerState;
import org.nettlering.domain.ledger.Reservation;
import org.nettlering.domain.ledger.StoredHeader;
import org.nettlering.domain.ledger.StoredResponse;
import org.nettlering.wire.proto.RequestProto;
import org.nettlering.wire.proto.RequestProto.CompleteKey;
import org.nettlering.wire.proto.RequestProto.LedgerResponse;
import org.nettlering.wire.proto.RequestProto.LedgerSnapshot;
import org.nettlering.wire.proto.RequestProto.ReservationState;
import org.nettlering.wire.proto.RequestProto.ReserveKey;

/** Converts the ledger of non-idempotent requests between messages and domain values. Thread-safe. */
public final class LedgerCodec {
    private static final long MAX_UNSIGNED_MILLIS = 0xFFFF_FFFFL;

    private LedgerCodec() {}

    /**
     * Reads a reservation.
     *
     * @param message the message, not null
     * @return the reservation, never null
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if the key is wrong
     */
    public static Reservation toReservation(ReserveKey message) {
        return new Reservation(
                new LedgerKey(message.getService(), message.getKey()),
                HexFormat.of().formatHex(message.getContentDigest().toByteArray()),
                message.getEntryId(),
                message.getAttemptId(),
                Instant.ofEpochMilli(message.getTimeUnixMillis()),
                Duration.ofMillis(Integer.toUnsignedLong(message.getTimeoutMillis())));
    }

    /**
     * Writes a reservation.
     *
     * @param reservation the reservation, not null
     * @return the message, never null
     */
    public static ReserveKey toMessage(Reservation reservation) {
        return ReserveKey.newBuilder()
                .setService(reservation.key().service())
                .setKey(reservation.key().key())
                .setContentDigest(ByteString.copyFrom(HexFormat.of().parseHex(reservation.contentDigest())))
                .setEntryId(reservation.entryId())
                .setAttemptId(reservation.attemptId())
                .setTimeUnixMillis(reservation.time().toEpochMilli())
                .setTimeoutMillis(toUnsignedMillis(reservation.timeout()))
                .build();
    }

    /**
     * Reads the outcome of a key.
     *
     * @param message the message, not null
     * @return the outcome; one that is not given counts as unknown, never null
     */
    public static KeyOutcome toOutcome(CompleteKey message) {
        return switch (message.getOutcome()) {
            case ANSWERED -> KeyOutcome.RESPONDED;
            case NOT_RUN -> KeyOutcome.NOT_RUN;
            case UNKNOWN, KEY_OUTCOME_UNSPECIFIED, UNRECOGNIZED -> KeyOutcome.UNKNOWN;
        };
    }

    /**
     * Reads the answer in the outcome of a key.
     *
     * @param message the message, not null
     * @return the answer, or null if there is none
     */
    public static @Nullable StoredResponse toAnswer(CompleteKey message) {
        return message.hasAnswer() ? toAnswer(message.getAnswer()) : null;
    }

    /**
     * Writes the outcome of a key.
     *
     * @param key the key, not null
     * @param attemptId the attempt that held it, not null
     * @param outcome how it ended, not null
     * @param answer the answer, or null if there is none
     * @return the message, never null
     */
    public static CompleteKey toMessage(
            LedgerKey key, String attemptId, KeyOutcome outcome, @Nullable StoredResponse answer) {
        CompleteKey.Builder builder = CompleteKey.newBuilder()
                .setService(key.service())
                .setKey(key.key())
                .setAttemptId(attemptId)
                .setOutcome(toMessage(outcome));
        if (answer != null) {
            builder.setAnswer(toMessage(answer));
        }
        return builder.build();
    }

    /**
     * Writes a reply.
     *
     * @param reply the reply, not null
     * @return the message, never null
     */
    public static LedgerResponse toMessage(LedgerResult reply) {
        LedgerResponse.Builder builder = LedgerResponse.newBuilder();
        return switch (reply) {
            case LedgerResult.Reserved reserved ->
                builder.setState(ReservationState.RESERVED).build();
            case LedgerResult.InFlight(String entryId, String attemptId, Duration remaining) ->
                builder.setState(ReservationState.IN_FLIGHT)
                        .setHolderEntryId(entryId)
                        .setHolderAttemptId(attemptId)
                        .setRemainingMillis(toUnsignedMillis(remaining))
                        .build();
            case LedgerResult.Completed(StoredResponse answer) ->
                builder.setState(ReservationState.KEPT_ANSWER)
                        .setAnswer(toMessage(answer))
                        .build();
            case LedgerResult.Unknown unknown ->
                builder.setState(ReservationState.OUTCOME_UNKNOWN).build();
            case LedgerResult.ContentMismatch mismatch ->
                builder.setState(ReservationState.CONTENT_MISMATCH).build();
            case LedgerResult.Absent absent ->
                builder.setState(ReservationState.ABSENT).build();
            case LedgerResult.OutcomeStored stored ->
                builder.setState(ReservationState.STORED).build();
            case LedgerResult.Full full ->
                builder.setState(ReservationState.LEDGER_FULL).build();
        };
    }

    /**
     * Reads a reply.
     *
     * @param message the message, not null
     * @return the reply; a state that is not known counts as unknown, never null
     */
    public static LedgerResult toReply(LedgerResponse message) {
        return switch (message.getState()) {
            case RESERVED -> new LedgerResult.Reserved();
            case IN_FLIGHT ->
                new LedgerResult.InFlight(
                        message.getHolderEntryId(),
                        message.getHolderAttemptId(),
                        Duration.ofMillis(Integer.toUnsignedLong(message.getRemainingMillis())));
            case KEPT_ANSWER -> new LedgerResult.Completed(toAnswer(message.getAnswer()));
            case OUTCOME_UNKNOWN, RESERVATION_STATE_UNSPECIFIED, UNRECOGNIZED -> new LedgerResult.Unknown();
            case CONTENT_MISMATCH -> new LedgerResult.ContentMismatch();
            case ABSENT -> new LedgerResult.Absent();
            case STORED -> new LedgerResult.OutcomeStored();
            case LEDGER_FULL -> new LedgerResult.Full();
        };
    }

    /**
     * Writes a captured state.
     *
     * @param snapshot the captured state, not null
     * @return the message, never null
     */
    public static LedgerSnapshot toMessage(LedgerState.Snapshot snapshot) {
        LedgerSnapshot.Builder builder = LedgerSnapshot.newBuilder()
                .setClockUnixMillis(snapshot.clock().toEpochMilli())
                .setHorizonUnixMillis(snapshot.horizon().toEpochMilli());
        snapshot.entries().forEach(entry -> builder.addEntries(toMessage(entry)));
        return builder.build();
    }

    /**
     * Reads a captured state.
     *
     * @param message the message, not null
     * @return the captured state, never null
     * @throws org.nettlering.domain.error.NettleringException {@code INVALID_ARGUMENT} if a key is wrong
     */
    public static LedgerState.Snapshot toSnapshot(LedgerSnapshot message) {
        return new LedgerState.Snapshot(
                message.getEntriesList().stream().map(LedgerCodec::toEntry).toList(),
                Instant.ofEpochMilli(message.getClockUnixMillis()),
                Instant.ofEpochMilli(message.getHorizonUnixMillis()));
    }

    private static RequestProto.LedgerEntry toMessage(LedgerEntry entry) {
        RequestProto.LedgerEntry.Builder builder =
                RequestProto.LedgerEntry.newBuilder().setReservation(toMessage(entry.reservation()));
        KeyOutcome outcome = entry.outcome();
        if (outcome != null) {
            Reservation reservation = entry.reservation();
            builder.setCompletion(toMessage(reservation.key(), reservation.attemptId(), outcome, entry.response()));
        }
        return builder.build();
    }

    private static LedgerEntry toEntry(RequestProto.LedgerEntry message) {
        Reservation reservation = toReservation(message.getReservation());
        if (!message.hasCompletion()) {
            return LedgerEntry.inFlight(reservation);
        }
        return new LedgerEntry(reservation, toOutcome(message.getCompletion()), toAnswer(message.getCompletion()));
    }

    private static RequestProto.KeyOutcome toMessage(KeyOutcome outcome) {
        return switch (outcome) {
            case RESPONDED -> RequestProto.KeyOutcome.ANSWERED;
            case NOT_RUN -> RequestProto.KeyOutcome.NOT_RUN;
            case UNKNOWN -> RequestProto.KeyOutcome.UNKNOWN;
        };
    }

    private static RequestProto.KeptAnswer toMessage(StoredResponse answer) {
        RequestProto.KeptAnswer.Builder builder = RequestProto.KeptAnswer.newBuilder()
                .setStatus(answer.status())
                .setBody(ByteString.copyFrom(answer.body()))
                .setBodyDropped(answer.isBodyDropped());
        answer.headers()
                .forEach(header ->
                        builder.addHeadersBuilder().setName(header.name()).setValue(header.value()));
        return builder.build();
    }

    /** Returns a duration as the unsigned number of a message, at most as many milliseconds as it holds. */
    private static int toUnsignedMillis(Duration duration) {
        return (int) Math.min(duration.toMillis(), MAX_UNSIGNED_MILLIS);
    }

    private static StoredResponse toAnswer(RequestProto.KeptAnswer message) {
        var headers = message.getHeadersList().stream()
                .map(header -> new StoredHeader(header.getName(), header.getValue()))
                .toList();
        return message.getBodyDropped()
                ? StoredResponse.withoutBody(message.getStatus(), headers)
                : StoredResponse.of(
                        message.getStatus(), headers, message.getBody().toByteArray());
    }
}
