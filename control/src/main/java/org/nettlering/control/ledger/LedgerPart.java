package org.nettlering.control.ledger;

import java.time.Instant;
import org.nettlering.control.log.StatePart;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.ledger.LedgerKey;
import org.nettlering.domain.ledger.LedgerResult;
import org.nettlering.domain.ledger.LedgerState;
import org.nettlering.wire.codec.LedgerCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;
import org.nettlering.wire.proto.RequestProto.CompleteKey;
import org.nettlering.wire.proto.RequestProto.LedgerCommand;

/** The ledger as a part of the replicated state. Thread-safe. */
public final class LedgerPart implements StatePart {
    /** The ledger. */
    private final LedgerState state = LedgerState.create();

    /**
     * Creates a part with an empty ledger.
     *
     * @return a new part, never null
     */
    public static LedgerPart create() {
        return new LedgerPart();
    }

    private LedgerPart() {}

    /**
     * Returns the ledger.
     *
     * @return the ledger, never null
     */
    public LedgerState state() {
        return state;
    }

    @Override
    public SiteResult apply(SiteCommand command) {
        LedgerResult reply = apply(command.getLedger());
        return SiteResult.newBuilder().setLedger(LedgerCodec.toMessage(reply)).build();
    }

    @Override
    public void save(SiteSnapshot.Builder snapshot) {
        snapshot.setLedger(LedgerCodec.toMessage(state.snapshot()));
    }

    @Override
    public void restore(SiteSnapshot snapshot) {
        state.restore(LedgerCodec.toSnapshot(snapshot.getLedger()));
    }

    private LedgerResult apply(LedgerCommand command) {
        return switch (command.getCommandCase()) {
            case RESERVE -> state.reserve(LedgerCodec.toReservation(command.getReserve()));
            case COMPLETE -> complete(command.getComplete());
            case COMMAND_NOT_SET ->
                throw new NettleringException(
                        ErrorCode.STORAGE_TOO_NEW, "a ledger command is of a kind that this program does not know");
        };
    }

    private LedgerResult complete(CompleteKey message) {
        return state.complete(
                new LedgerKey(message.getService(), message.getKey()),
                message.getAttemptId(),
                LedgerCodec.toOutcome(message),
                LedgerCodec.toAnswer(message),
                Instant.ofEpochMilli(message.getTimeUnixMillis()));
    }
}
