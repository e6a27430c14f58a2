package org.nettlering.consensus;

import java.util.List;

/**
 * A message between two members of the group.
 *
 * <p>Messages may be lost, delayed, reordered and duplicated. Immutable and thread-safe.
 */
public sealed interface ConsensusMessage {
    /**
     * Returns the sender's term.
     *
     * @return the term, at least zero
     */
    long term();

    /**
     * Asks whether a member would vote for the sender, without incrementing any term.
     *
     * @param term the term of the election that the sender would start: one higher than its own
     * @param targetDisk the disk listed for the receiver in the sender's membership
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm the term of that entry
     */
    record PreVoteRequest(long term, long targetDisk, long lastIndex, long lastTerm) implements ConsensusMessage {}

    /**
     * Response to {@link PreVoteRequest}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param requestedTerm the term of the request
     * @param granted true if the sender would vote for the receiver
     */
    record PreVoteResponse(long term, long diskId, long requestedTerm, boolean granted) implements ConsensusMessage {}

    /**
     * Requests a vote.
     *
     * @param term the term of the election
     * @param targetDisk the disk listed for the receiver in the sender's membership
     * @param lastIndex the index of the sender's last entry
     * @param lastTerm the term of that entry
     * @param transfer true if the leader requested the election by {@link TimeoutNow}
     */
    record VoteRequest(long term, long targetDisk, long lastIndex, long lastTerm, boolean transfer)
            implements ConsensusMessage {}

    /**
     * Response to {@link VoteRequest}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param granted true if the sender votes for the receiver in this term
     */
    record VoteResponse(long term, long diskId, boolean granted) implements ConsensusMessage {}

    /**
     * Replicates entries; without entries, a heartbeat.
     *
     * @param term the leader's term
     * @param previousIndex the index of the entry before the first one sent
     * @param previousTerm the term of that entry
     * @param entries the entries, not null
     * @param commitIndex the index of the last entry that the leader knows to be committed
     * @param round the leader's latest read round, which confirms its leadership
     */
    record AppendRequest(
            long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex, long round)
            implements ConsensusMessage {}

    /**
     * Response to {@link AppendRequest}, sent after the entries are durable.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param accepted true if the sender's log matches the leader's up to {@code index}
     * @param index the index of the last matching entry, or of the previous entry that did not match
     * @param nextIndex the index from which the leader should continue if the request was not accepted
     * @param round the round of the request
     */
    record AppendResponse(long term, long diskId, boolean accepted, long index, long nextIndex, long round)
            implements ConsensusMessage {}

    /**
     * Transfers a piece of a snapshot.
     *
     * @param term the leader's term
     * @param header the header of the whole snapshot, not null
     * @param offset the position of the piece in the encoded state, in bytes
     * @param data the bytes of the piece, not null
     */
    record SnapshotPiece(long term, SnapshotHeader header, long offset, Payload data) implements ConsensusMessage {}

    /**
     * Response to {@link SnapshotPiece}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param snapshotIndex the index of the snapshot
     * @param receivedBytes the number of bytes received without a gap, from the beginning
     * @param installed true if the whole snapshot is durable at the sender
     */
    record SnapshotPieceResponse(long term, long diskId, long snapshotIndex, long receivedBytes, boolean installed)
            implements ConsensusMessage {}

    /**
     * Asks the receiver to start an election at once.
     *
     * @param term the leader's term
     */
    record TimeoutNow(long term) implements ConsensusMessage {}

    /**
     * Asks whether the receiver already belongs to a group.
     *
     * @param term the sender's term
     * @param requestingDisk the sender's disk
     */
    record DiscoveryRequest(long term, long requestingDisk) implements ConsensusMessage {}

    /**
     * Response to {@link DiscoveryRequest}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param requestingDisk the disk named in the request
     * @param initialised true if the sender's disk holds any state of a group
     * @param mayBootstrap true if the sender may bootstrap the group itself
     */
    record DiscoveryResponse(long term, long diskId, long requestingDisk, boolean initialised, boolean mayBootstrap)
            implements ConsensusMessage {}
}
