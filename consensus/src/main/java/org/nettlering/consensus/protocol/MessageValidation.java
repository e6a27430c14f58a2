package org.nettlering.consensus.protocol;

import java.util.List;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Checks messages from other members before the protocol sees them.
 *
 * <p>A failure within the protocol stops the member for good, as its state may be inconsistent then. A message that no
 * member sends must therefore be refused before it changes any state. Immutable and thread-safe.
 */
public final class MessageValidation {
    /** Far beyond any term or index of a real group, and far from an overflow. */
    private static final long MAX_NUMBER = 1L << 56;

    /** The largest snapshot; one is held in memory while it arrives. */
    private static final long MAX_SNAPSHOT_BYTES = 1L << 30;

    private MessageValidation() {}

    /**
     * Checks that a message is one that a member may send.
     *
     * @param message the message, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if a number is out of range, or entries do not follow each
     *     other
     */
    public static void requireValid(ConsensusMessage message) {
        require(isNumber(message.term()), message);
        switch (message) {
            case ConsensusMessage.PreVoteRequest request ->
                require(isPosition(request.lastIndex(), request.lastTerm()), message);
            case ConsensusMessage.PreVoteResponse response -> require(isNumber(response.requestedTerm()), message);
            case ConsensusMessage.VoteRequest request ->
                require(isPosition(request.lastIndex(), request.lastTerm()), message);
            case ConsensusMessage.AppendRequest request -> requireValidEntries(request);
            case ConsensusMessage.AppendResponse response ->
                require(
                        isNumber(response.index()) && isNumber(response.nextIndex()) && isNumber(response.round()),
                        message);
            case ConsensusMessage.SnapshotPiece piece -> require(isValid(piece), message);
            case ConsensusMessage.SnapshotPieceResponse response ->
                require(isPosition(response.snapshotIndex(), response.receivedBytes()), message);
            case ConsensusMessage.VoteResponse ignored -> {}
            case ConsensusMessage.TimeoutNow ignored -> {}
            case ConsensusMessage.DiscoveryRequest ignored -> {}
            case ConsensusMessage.DiscoveryResponse ignored -> {}
        }
    }

    private static void requireValidEntries(ConsensusMessage.AppendRequest request) {
        require(isPosition(request.previousIndex(), request.previousTerm()), request);
        require(isNumber(request.commitIndex()) && isNumber(request.round()), request);
        List<LogEntry> entries = request.entries();
        long previousTerm = request.previousTerm();
        for (int offset = 0; offset < entries.size(); offset++) {
            LogEntry entry = entries.get(offset);
            require(entry.index() == request.previousIndex() + 1 + offset, request);
            require(entry.term() >= previousTerm && entry.term() <= request.term(), request);
            if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
                requireMembership(entry);
            }
            previousTerm = entry.term();
        }
    }

    private static void requireMembership(LogEntry entry) {
        try {
            MembershipCodec.decode(entry.payload());
        } catch (RuntimeException exception) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "entry " + entry.index() + " holds no membership", exception);
        }
    }

    private static boolean isValid(ConsensusMessage.SnapshotPiece piece) {
        SnapshotHeader header = piece.header();
        return isPosition(header.index(), header.term())
                && header.index() > 0
                && header.term() <= piece.term()
                && isNumber(header.sizeBytes())
                && header.sizeBytes() <= MAX_SNAPSHOT_BYTES
                && isNumber(piece.offset())
                && piece.offset() + piece.data().length() <= header.sizeBytes();
    }

    private static boolean isPosition(long index, long term) {
        return isNumber(index) && isNumber(term);
    }

    private static boolean isNumber(long number) {
        return number >= 0 && number < MAX_NUMBER;
    }

    private static void require(boolean valid, ConsensusMessage message) {
        if (!valid) {
            throw new NettleringException(
                    ErrorCode.INVALID_ARGUMENT,
                    "a message of another member is malformed: "
                            + message.getClass().getSimpleName() + " of term " + message.term());
        }
    }
}
