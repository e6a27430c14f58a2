package org.nettlering.consensus.protocol;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusMessage.SnapshotPiece;
import org.nettlering.consensus.ConsensusMessage.SnapshotPieceResponse;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.SnapshotHeader;

/** Sends the leader's entries and snapshots to the other members, no faster than each one acknowledges. */
final class Replicator {
    /** What the member knows. */
    private final MemberState state;

    /** The snapshot that is being sent, loaded only while a member needs it. */
    private @Nullable StoredSnapshot outgoing;

    Replicator(MemberState state) {
        this.state = state;
    }

    /** Sends the entries that the member does not have, as far as its limit of unanswered messages allows. */
    void sendEntries(Replica replica, long round) {
        if (replica.mode != Replica.Mode.STREAM) {
            return;
        }
        while (replica.nextIndex <= state.log.lastIndex()
                && replica.messagesInFlight() < state.settings.maxMessagesInFlight()) {
            if (replica.nextIndex <= state.log.baseIndex()) {
                startSnapshot(replica);
                return;
            }
            List<LogEntry> entries = state.log.slice(replica.nextIndex, Long.MAX_VALUE, state.settings.maxBatchBytes());
            sendAppend(replica, entries, round);
            replica.sentUpTo(entries.getLast().index());
        }
    }

    void sendHeartbeat(Replica replica, long round) {
        long silentNanos = state.time.nanoTime() - replica.lastHeardNanos;
        boolean silent = silentNanos > 2 * state.settings.heartbeatInterval().toNanos();
        if (replica.mode == Replica.Mode.STREAM && silent && replica.messagesInFlight() > 0) {
            replica.probeFrom(replica.matchIndex + 1);
        }
        if (replica.mode == Replica.Mode.SNAPSHOT && isPieceOverdue(replica)) {
            sendPiece(replica);
        }
        if (replica.mode != Replica.Mode.SNAPSHOT && replica.nextIndex <= state.log.baseIndex()) {
            startSnapshot(replica);
        }
        sendAppend(replica, List.of(), round);
    }

    private boolean isPieceOverdue(Replica replica) {
        long waitedNanos = state.time.nanoTime() - replica.pieceSentNanos;
        return waitedNanos > 2 * state.settings.heartbeatInterval().toNanos();
    }

    private void sendAppend(Replica replica, List<LogEntry> entries, long round) {
        long previousIndex = Math.max(replica.nextIndex - 1, state.log.baseIndex());
        AppendRequest request = new AppendRequest(
                state.term, previousIndex, state.log.termAt(previousIndex), entries, state.commitIndex, round);
        state.outbox.send(replica.id, request);
    }

    void receive(Replica replica, AppendResponse response, long round) {
        replica.answeredRound = Math.max(replica.answeredRound, response.round());
        if (response.accepted()) {
            replica.acknowledged(response.index());
            if (replica.mode != Replica.Mode.STREAM && replica.nextIndex > state.log.baseIndex()) {
                replica.mode = Replica.Mode.STREAM;
            }
            sendEntries(replica, round);
            return;
        }
        boolean outdated = response.index() <= replica.matchIndex || response.index() >= replica.nextIndex;
        if (replica.mode == Replica.Mode.SNAPSHOT || outdated) {
            return;
        }
        replica.probeFrom(Math.min(response.nextIndex(), response.index()));
        if (replica.nextIndex <= state.log.baseIndex()) {
            startSnapshot(replica);
            return;
        }
        sendAppend(replica, List.of(), round);
    }

    private void startSnapshot(Replica replica) {
        replica.probeFrom(replica.nextIndex);
        replica.mode = Replica.Mode.SNAPSHOT;
        replica.snapshotOffset = 0;
        sendPiece(replica);
    }

    private void sendPiece(Replica replica) {
        StoredSnapshot snapshot = outgoing;
        if (snapshot == null) {
            state.outbox.wantSnapshot();
            return;
        }
        replica.pieceSentNanos = state.time.nanoTime();
        int offset = (int) replica.snapshotOffset;
        int size =
                Math.min(state.settings.snapshotPieceBytes(), snapshot.state().length() - offset);
        state.outbox.send(
                replica.id,
                new SnapshotPiece(
                        state.term, snapshot.header(), offset, snapshot.state().slice(offset, size)));
    }

    void receive(Replica replica, SnapshotPieceResponse response, long round) {
        StoredSnapshot snapshot = outgoing;
        if (response.installed()) {
            replica.acknowledged(response.snapshotIndex());
            if (replica.mode == Replica.Mode.SNAPSHOT) {
                replica.probeFrom(replica.matchIndex + 1);
                sendAppend(replica, List.of(), round);
            }
            return;
        }
        if (snapshot == null || replica.mode != Replica.Mode.SNAPSHOT) {
            return;
        }
        if (snapshot.header().index() != response.snapshotIndex()) {
            return;
        }
        boolean complete = response.receivedBytes() >= snapshot.header().sizeBytes();
        boolean repeated = response.receivedBytes() == replica.snapshotOffset && response.receivedBytes() > 0;
        replica.snapshotOffset =
                Math.min(response.receivedBytes(), snapshot.header().sizeBytes());
        if (!complete && !repeated) {
            sendPiece(replica);
        }
    }

    /** Takes over the stored snapshot that was loaded for the members that need it. */
    void loaded(StoredSnapshot snapshot, Iterable<Replica> replicas) {
        outgoing = snapshot;
        for (Replica replica : replicas) {
            if (replica.mode == Replica.Mode.SNAPSHOT) {
                replica.snapshotOffset = 0;
                sendPiece(replica);
            }
        }
    }

    /** Forgets the loaded snapshot when no member needs it or a newer one is stored. */
    void releaseSnapshot(Iterable<Replica> replicas) {
        SnapshotHeader header = outgoing == null ? SnapshotHeader.NONE : outgoing.header();
        boolean needed = false;
        for (Replica replica : replicas) {
            needed |= replica.mode == Replica.Mode.SNAPSHOT;
        }
        if (!needed || header.index() < state.log.baseIndex()) {
            outgoing = null;
        }
    }
}
