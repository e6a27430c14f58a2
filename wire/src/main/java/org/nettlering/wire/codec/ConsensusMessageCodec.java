package org.nettlering.wire.codec;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.consensus.protocol.MembershipCodec;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.ConsensusProto;

/** Converts the messages of the replicated log to protobuf and back. Stateless and thread-safe. */
public final class ConsensusMessageCodec {
    private ConsensusMessageCodec() {}

    /**
     * Encodes a message.
     *
     * @param from the sender, not null
     * @param to the receiver, not null
     * @param message the message, not null
     * @return the protobuf message, never null
     */
    public static ConsensusProto.ConsensusMessage encode(MemberId from, MemberId to, ConsensusMessage message) {
        ConsensusProto.ConsensusMessage.Builder builder = ConsensusProto.ConsensusMessage.newBuilder()
                .setFrom(from.value())
                .setTo(to.value())
                .setTerm(message.term());
        switch (message) {
            case ConsensusMessage.PreVoteRequest request -> builder.setPreVoteRequest(encode(request));
            case ConsensusMessage.PreVoteResponse response -> builder.setPreVoteResponse(encode(response));
            case ConsensusMessage.VoteRequest request -> builder.setVoteRequest(encode(request));
            case ConsensusMessage.VoteResponse response -> builder.setVoteResponse(encode(response));
            case ConsensusMessage.AppendRequest request -> builder.setAppendRequest(encode(request));
            case ConsensusMessage.AppendResponse response -> builder.setAppendResponse(encode(response));
            case ConsensusMessage.SnapshotPiece piece -> builder.setSnapshotPiece(encode(piece));
            case ConsensusMessage.SnapshotPieceResponse response -> builder.setSnapshotPieceResponse(encode(response));
            case ConsensusMessage.TimeoutNow request ->
                builder.setTimeoutNow(ConsensusProto.TimeoutNow.getDefaultInstance());
            case ConsensusMessage.DiscoveryRequest request -> builder.setDiscoveryRequest(encode(request));
            case ConsensusMessage.DiscoveryResponse response -> builder.setDiscoveryResponse(encode(response));
        }
        return builder.build();
    }

    private static ConsensusProto.PreVoteRequest encode(ConsensusMessage.PreVoteRequest request) {
        return ConsensusProto.PreVoteRequest.newBuilder()
                .setTargetDisk(request.targetDisk())
                .setLastIndex(request.lastIndex())
                .setLastTerm(request.lastTerm())
                .build();
    }

    private static ConsensusProto.PreVoteResponse encode(ConsensusMessage.PreVoteResponse response) {
        return ConsensusProto.PreVoteResponse.newBuilder()
                .setDiskId(response.diskId())
                .setRequestedTerm(response.requestedTerm())
                .setGranted(response.granted())
                .build();
    }

    private static ConsensusProto.VoteRequest encode(ConsensusMessage.VoteRequest request) {
        return ConsensusProto.VoteRequest.newBuilder()
                .setTargetDisk(request.targetDisk())
                .setLastIndex(request.lastIndex())
                .setLastTerm(request.lastTerm())
                .setTransfer(request.transfer())
                .build();
    }

    private static ConsensusProto.VoteResponse encode(ConsensusMessage.VoteResponse response) {
        return ConsensusProto.VoteResponse.newBuilder()
                .setDiskId(response.diskId())
                .setGranted(response.granted())
                .build();
    }

    private static ConsensusProto.AppendRequest encode(ConsensusMessage.AppendRequest request) {
        ConsensusProto.AppendRequest.Builder builder = ConsensusProto.AppendRequest.newBuilder()
                .setPreviousIndex(request.previousIndex())
                .setPreviousTerm(request.previousTerm())
                .setCommitIndex(request.commitIndex())
                .setRound(request.round());
        for (LogEntry entry : request.entries()) {
            builder.addEntries(ConsensusProto.LogEntry.newBuilder()
                    .setTerm(entry.term())
                    .setKind(encode(entry.kind()))
                    .setPayload(bytes(entry.payload())));
        }
        return builder.build();
    }

    private static ConsensusProto.LogEntryKind encode(LogEntry.Kind kind) {
        return switch (kind) {
            case NO_OP -> ConsensusProto.LogEntryKind.LOG_ENTRY_KIND_NO_OP;
            case COMMAND -> ConsensusProto.LogEntryKind.LOG_ENTRY_KIND_COMMAND;
            case MEMBERSHIP -> ConsensusProto.LogEntryKind.LOG_ENTRY_KIND_MEMBERSHIP;
        };
    }

    private static ConsensusProto.AppendResponse encode(ConsensusMessage.AppendResponse response) {
        return ConsensusProto.AppendResponse.newBuilder()
                .setDiskId(response.diskId())
                .setAccepted(response.accepted())
                .setIndex(response.index())
                .setNextIndex(response.nextIndex())
                .setRound(response.round())
                .build();
    }

    private static ConsensusProto.SnapshotPiece encode(ConsensusMessage.SnapshotPiece piece) {
        SnapshotHeader header = piece.header();
        return ConsensusProto.SnapshotPiece.newBuilder()
                .setIndex(header.index())
                .setIndexTerm(header.term())
                .setMembership(bytes(MembershipCodec.encode(header.membership())))
                .setSizeBytes(header.sizeBytes())
                .setChecksum((int) header.checksum())
                .setOffset(piece.offset())
                .setData(bytes(piece.data()))
                .build();
    }

    private static ConsensusProto.SnapshotPieceResponse encode(ConsensusMessage.SnapshotPieceResponse response) {
        return ConsensusProto.SnapshotPieceResponse.newBuilder()
                .setDiskId(response.diskId())
                .setSnapshotIndex(response.snapshotIndex())
                .setReceivedBytes(response.receivedBytes())
                .setInstalled(response.installed())
                .build();
    }

    private static ConsensusProto.DiscoveryRequest encode(ConsensusMessage.DiscoveryRequest request) {
        return ConsensusProto.DiscoveryRequest.newBuilder()
                .setRequestingDisk(request.requestingDisk())
                .build();
    }

    private static ConsensusProto.DiscoveryResponse encode(ConsensusMessage.DiscoveryResponse response) {
        return ConsensusProto.DiscoveryResponse.newBuilder()
                .setDiskId(response.diskId())
                .setRequestingDisk(response.requestingDisk())
                .setInitialised(response.initialised())
                .setFounds(response.mayBootstrap())
                .build();
    }

    private static ByteString bytes(Payload payload) {
        return UnsafeByteOperations.unsafeWrap(payload.bytes());
    }

    /**
     * Decodes a message.
     *
     * @param message the protobuf message, not null
     * @return the message, never null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if it holds no known message
     */
    public static ConsensusMessage decode(ConsensusProto.ConsensusMessage message) {
        long term = message.getTerm();
        return switch (message.getMessageCase()) {
            case PRE_VOTE_REQUEST -> decode(term, message.getPreVoteRequest());
            case PRE_VOTE_RESPONSE -> decode(term, message.getPreVoteResponse());
            case VOTE_REQUEST -> decode(term, message.getVoteRequest());
            case VOTE_RESPONSE -> decode(term, message.getVoteResponse());
            case APPEND_REQUEST -> decode(term, message.getAppendRequest());
            case APPEND_RESPONSE -> decode(term, message.getAppendResponse());
            case SNAPSHOT_PIECE -> decode(term, message.getSnapshotPiece());
            case SNAPSHOT_PIECE_RESPONSE -> decode(term, message.getSnapshotPieceResponse());
            case TIMEOUT_NOW -> new ConsensusMessage.TimeoutNow(term);
            case DISCOVERY_REQUEST ->
                new ConsensusMessage.DiscoveryRequest(
                        term, message.getDiscoveryRequest().getRequestingDisk());
            case DISCOVERY_RESPONSE -> decode(term, message.getDiscoveryResponse());
            case MESSAGE_NOT_SET -> throw unknown("the message from member " + message.getFrom());
        };
    }

    private static ConsensusMessage decode(long term, ConsensusProto.PreVoteRequest request) {
        return new ConsensusMessage.PreVoteRequest(
                term, request.getTargetDisk(), request.getLastIndex(), request.getLastTerm());
    }

    private static ConsensusMessage decode(long term, ConsensusProto.PreVoteResponse response) {
        return new ConsensusMessage.PreVoteResponse(
                term, response.getDiskId(), response.getRequestedTerm(), response.getGranted());
    }

    private static ConsensusMessage decode(long term, ConsensusProto.VoteRequest request) {
        return new ConsensusMessage.VoteRequest(
                term, request.getTargetDisk(), request.getLastIndex(), request.getLastTerm(), request.getTransfer());
    }

    private static ConsensusMessage decode(long term, ConsensusProto.VoteResponse response) {
        return new ConsensusMessage.VoteResponse(term, response.getDiskId(), response.getGranted());
    }

    private static ConsensusMessage decode(long term, ConsensusProto.AppendRequest request) {
        List<LogEntry> entries = new ArrayList<>(request.getEntriesCount());
        long index = request.getPreviousIndex();
        for (ConsensusProto.LogEntry entry : request.getEntriesList()) {
            index++;
            entries.add(new LogEntry(
                    index,
                    entry.getTerm(),
                    decode(entry.getKind()),
                    Payload.of(entry.getPayload().toByteArray())));
        }
        return new ConsensusMessage.AppendRequest(
                term,
                request.getPreviousIndex(),
                request.getPreviousTerm(),
                entries,
                request.getCommitIndex(),
                request.getRound());
    }

    private static LogEntry.Kind decode(ConsensusProto.LogEntryKind kind) {
        return switch (kind) {
            case LOG_ENTRY_KIND_NO_OP -> LogEntry.Kind.NO_OP;
            case LOG_ENTRY_KIND_COMMAND -> LogEntry.Kind.COMMAND;
            case LOG_ENTRY_KIND_MEMBERSHIP -> LogEntry.Kind.MEMBERSHIP;
            case LOG_ENTRY_KIND_UNSPECIFIED, UNRECOGNIZED -> throw unknown("an entry of the log");
        };
    }

    private static ConsensusMessage decode(long term, ConsensusProto.AppendResponse response) {
        return new ConsensusMessage.AppendResponse(
                term,
                response.getDiskId(),
                response.getAccepted(),
                response.getIndex(),
                response.getNextIndex(),
                response.getRound());
    }

    private static ConsensusMessage decode(long term, ConsensusProto.SnapshotPiece piece) {
        Payload membership = Payload.of(piece.getMembership().toByteArray());
        SnapshotHeader header = new SnapshotHeader(
                piece.getIndex(),
                piece.getIndexTerm(),
                MembershipCodec.decode(membership),
                piece.getSizeBytes(),
                Integer.toUnsignedLong(piece.getChecksum()));
        return new ConsensusMessage.SnapshotPiece(
                term, header, piece.getOffset(), Payload.of(piece.getData().toByteArray()));
    }

    private static ConsensusMessage decode(long term, ConsensusProto.SnapshotPieceResponse response) {
        return new ConsensusMessage.SnapshotPieceResponse(
                term,
                response.getDiskId(),
                response.getSnapshotIndex(),
                response.getReceivedBytes(),
                response.getInstalled());
    }

    private static ConsensusMessage decode(long term, ConsensusProto.DiscoveryResponse response) {
        return new ConsensusMessage.DiscoveryResponse(
                term,
                response.getDiskId(),
                response.getRequestingDisk(),
                response.getInitialised(),
                response.getFounds());
    }

    private static NettleringException unknown(String what) {
        return new NettleringException(
                ErrorCode.INVALID_ARGUMENT, what + " is of a kind that this program does not know");
    }
}
