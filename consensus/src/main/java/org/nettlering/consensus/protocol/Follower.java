package org.nettlering.consensus.protocol;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.SnapshotInstalled;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusMessage.SnapshotPiece;
import org.nettlering.consensus.ConsensusMessage.SnapshotPieceResponse;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.SnapshotHeader;

/** Processes the entries and snapshots sent by the leader of the current term; responds once they are durable. */
final class Follower {
    private final MemberState state;
    private final ApplyQueue applyQueue;

    /** The snapshot being received, or null. */
    private @Nullable IncomingSnapshot incomingSnapshot;

    Follower(MemberState state, ApplyQueue applyQueue) {
        this.state = state;
        this.applyQueue = applyQueue;
    }

    void receive(MemberId from, AppendRequest request) {
        long previousIndex = request.previousIndex();
        long previousTerm = request.previousTerm();
        List<LogEntry> entries = request.entries();
        long lastSentIndex = previousIndex + entries.size();
        long entriesBeforeBase = state.log.baseIndex() - previousIndex;
        if (entriesBeforeBase > 0) {
            entries = entries.subList((int) Math.min(entriesBeforeBase, entries.size()), entries.size());
            previousIndex = Math.min(state.log.baseIndex(), lastSentIndex);
            previousTerm = state.log.termAt(previousIndex);
        }
        if (previousIndex >= state.log.baseIndex() && state.log.termAt(previousIndex) != previousTerm) {
            reject(from, request);
            return;
        }
        appendEntries(entries);
        long newCommitIndex = Math.min(request.commitIndex(), lastSentIndex);
        state.commitIndex = Math.max(state.commitIndex, newCommitIndex);
        state.outbox.sendWhenDurable(
                from,
                new AppendResponse(state.term, state.diskId, true, lastSentIndex, lastSentIndex + 1, request.round()));
    }

    /** Appends the entries that are not in the log yet, after truncating the log at the first conflict. */
    private void appendEntries(List<LogEntry> entries) {
        int matchingEntries = 0;
        while (matchingEntries < entries.size()) {
            LogEntry entry = entries.get(matchingEntries);
            if (entry.index() > state.log.lastIndex()) {
                break;
            }
            if (state.log.termAt(entry.index()) != entry.term()) {
                state.truncateFrom(entry.index());
                break;
            }
            matchingEntries++;
        }
        if (matchingEntries < entries.size()) {
            state.append(List.copyOf(entries.subList(matchingEntries, entries.size())));
        }
    }

    private void reject(MemberId from, AppendRequest request) {
        state.outbox.sendWhenDurable(
                from,
                new AppendResponse(
                        state.term,
                        state.diskId,
                        false,
                        request.previousIndex(),
                        firstConflictingIndex(request.previousIndex()),
                        request.round()));
    }

    /**
     * Returns where the leader should probe next: after the end of a shorter log, or else at the first uncommitted entry of
     * the conflicting term, so that one rejection skips a whole term.
     */
    private long firstConflictingIndex(long previousIndex) {
        if (previousIndex > state.log.lastIndex()) {
            return state.log.lastIndex() + 1;
        }
        long conflictingTerm = state.log.termAt(previousIndex);
        long index = previousIndex;
        while (index - 1 > state.commitIndex && state.log.termAt(index - 1) == conflictingTerm) {
            index--;
        }
        return index;
    }

    void receive(MemberId from, SnapshotPiece piece) {
        SnapshotHeader header = piece.header();
        if (header.index() <= state.commitIndex) {
            incomingSnapshot = null;
            respond(from, header, header.sizeBytes(), true);
            return;
        }
        IncomingSnapshot snapshot = incomingSnapshot;
        if (snapshot == null || !snapshot.header().equals(header)) {
            snapshot = new IncomingSnapshot(header);
            incomingSnapshot = snapshot;
        }
        snapshot.add(piece.offset(), piece.data());
        if (!snapshot.isComplete()) {
            respond(from, header, snapshot.receivedBytes(), false);
            return;
        }
        incomingSnapshot = null;
        if (!snapshot.isIntact()) {
            respond(from, header, 0L, false);
            return;
        }
        installSnapshot(new StoredSnapshot(header, snapshot.state()));
        respond(from, header, header.sizeBytes(), true);
    }

    private void respond(MemberId from, SnapshotHeader header, long receivedBytes, boolean installed) {
        state.outbox.sendWhenDurable(
                from, new SnapshotPieceResponse(state.term, state.diskId, header.index(), receivedBytes, installed));
    }

    private void installSnapshot(StoredSnapshot snapshot) {
        SnapshotHeader header = snapshot.header();
        boolean retainLog = state.log.termAt(header.index()) == header.term();
        if (retainLog) {
            state.log.discardUpTo(header.index());
            state.membershipHistory.discardBefore(header.index());
        } else {
            state.log.resetTo(header.index(), header.term());
            state.membershipHistory.resetTo(header.index(), header.membership());
            state.reportMembership();
        }
        state.commitIndex = header.index();
        state.snapshot = header;
        applyQueue.restore(snapshot);
        state.outbox.write(new DiskWrite.Install(header, snapshot.state(), retainLog));
        state.outbox.whenDurable(() -> state.outbox.report(new SnapshotInstalled(header.index(), header.sizeBytes())));
    }
}
