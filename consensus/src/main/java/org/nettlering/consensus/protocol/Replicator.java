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

/** Sends entries and snapshots to the other members; the number of unacknowledged messages per member is limited. */
final class Replicator {
    private final MemberState state;

    /** The snapshot to send, or null if it is not loaded; loaded only while a member needs it. */
    private @Nullable StoredSnapshot outgoingSnapshot;

    Replicator(MemberState state) {
        this.state = state;
    }

    /** Sends the entries that the member does not have, up to its limit of unacknowledged messages. */
    void sendEntries(ReplicaProgress replica, long round) {
        if (replica.mode != ReplicaProgress.Mode.REPLICATE) {
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
            replica.recordSent(entries.getLast().index());
        }
    }

    /**
     * Sends an append request without entries.
     *
     * <p>Before that, it recovers a stalled replication:
     *
     * <ul>
     *   <li>switches to probing if messages are unacknowledged and the last response is older than two heartbeat intervals;
     *   <li>sends a snapshot piece again that was sent more than two heartbeat intervals ago;
     *   <li>sends the snapshot if the next entry is no longer in memory.
     * </ul>
     */
    void sendHeartbeat(ReplicaProgress replica, long round) {
        long sinceContactNanos = state.time.nanoTime() - replica.lastContactNanos;
        boolean unresponsive =
                sinceContactNanos > 2 * state.settings.heartbeatInterval().toNanos();
        if (replica.mode == ReplicaProgress.Mode.REPLICATE && unresponsive && replica.messagesInFlight() > 0) {
            replica.probeFrom(replica.matchIndex + 1);
        }
        if (replica.mode == ReplicaProgress.Mode.SNAPSHOT && isPieceOverdue(replica)) {
            sendPiece(replica);
        }
        if (replica.mode != ReplicaProgress.Mode.SNAPSHOT && replica.nextIndex <= state.log.baseIndex()) {
            startSnapshot(replica);
        }
        sendAppend(replica, List.of(), round);
    }

    private boolean isPieceOverdue(ReplicaProgress replica) {
        long sincePieceNanos = state.time.nanoTime() - replica.lastPieceSentNanos;
        return sincePieceNanos > 2 * state.settings.heartbeatInterval().toNanos();
    }

    private void sendAppend(ReplicaProgress replica, List<LogEntry> entries, long round) {
        long previousIndex = Math.max(replica.nextIndex - 1, state.log.baseIndex());
        AppendRequest request = new AppendRequest(
                state.term, previousIndex, state.log.termAt(previousIndex), entries, state.commitIndex, round);
        state.outbox.send(replica.id, request);
    }

    void receive(ReplicaProgress replica, AppendResponse response, long round) {
        replica.acknowledgedRound = Math.max(replica.acknowledgedRound, response.round());
        if (response.accepted()) {
            replica.recordAcknowledged(response.index());
            if (replica.mode != ReplicaProgress.Mode.REPLICATE && replica.nextIndex > state.log.baseIndex()) {
                replica.mode = ReplicaProgress.Mode.REPLICATE;
            }
            sendEntries(replica, round);
            return;
        }
        boolean stale = response.index() <= replica.matchIndex || response.index() >= replica.nextIndex;
        if (replica.mode == ReplicaProgress.Mode.SNAPSHOT || stale) {
            return;
        }
        replica.probeFrom(Math.min(response.nextIndex(), response.index()));
        if (replica.nextIndex <= state.log.baseIndex()) {
            startSnapshot(replica);
            return;
        }
        sendAppend(replica, List.of(), round);
    }

    private void startSnapshot(ReplicaProgress replica) {
        replica.probeFrom(replica.nextIndex);
        replica.mode = ReplicaProgress.Mode.SNAPSHOT;
        replica.snapshotOffset = 0;
        sendPiece(replica);
    }

    private void sendPiece(ReplicaProgress replica) {
        StoredSnapshot snapshot = outgoingSnapshot;
        if (snapshot == null) {
            state.outbox.requestSnapshot();
            return;
        }
        replica.lastPieceSentNanos = state.time.nanoTime();
        int offset = (int) replica.snapshotOffset;
        int size =
                Math.min(state.settings.snapshotPieceBytes(), snapshot.state().length() - offset);
        state.outbox.send(
                replica.id,
                new SnapshotPiece(
                        state.term, snapshot.header(), offset, snapshot.state().slice(offset, size)));
    }

    void receive(ReplicaProgress replica, SnapshotPieceResponse response, long round) {
        StoredSnapshot snapshot = outgoingSnapshot;
        if (response.installed()) {
            replica.recordAcknowledged(response.snapshotIndex());
            if (replica.mode == ReplicaProgress.Mode.SNAPSHOT) {
                replica.probeFrom(replica.matchIndex + 1);
                sendAppend(replica, List.of(), round);
            }
            return;
        }
        if (snapshot == null || replica.mode != ReplicaProgress.Mode.SNAPSHOT) {
            return;
        }
        if (snapshot.header().index() != response.snapshotIndex()) {
            return;
        }
        boolean complete = response.receivedBytes() >= snapshot.header().sizeBytes();
        boolean duplicate = response.receivedBytes() == replica.snapshotOffset && response.receivedBytes() > 0;
        replica.snapshotOffset =
                Math.min(response.receivedBytes(), snapshot.header().sizeBytes());
        if (!complete && !duplicate) {
            sendPiece(replica);
        }
    }

    /** Provides the loaded snapshot and starts sending it to the members that need it. */
    void onSnapshotLoaded(StoredSnapshot snapshot, Iterable<ReplicaProgress> replicas) {
        outgoingSnapshot = snapshot;
        for (ReplicaProgress replica : replicas) {
            if (replica.mode == ReplicaProgress.Mode.SNAPSHOT) {
                replica.snapshotOffset = 0;
                sendPiece(replica);
            }
        }
    }

    /** Releases the loaded snapshot if no member needs it or the log in memory starts after it. */
    void releaseSnapshot(Iterable<ReplicaProgress> replicas) {
        SnapshotHeader header = outgoingSnapshot == null ? SnapshotHeader.NONE : outgoingSnapshot.header();
        boolean needed = false;
        for (ReplicaProgress replica : replicas) {
            needed |= replica.mode == ReplicaProgress.Mode.SNAPSHOT;
        }
        if (!needed || header.index() < state.log.baseIndex()) {
            outgoingSnapshot = null;
        }
    }
}
