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
     * Asks whether a member would vote for the sender, without raising anybody's term.
     *
     * @param term the term that the sender would stand in, one beyond its own
     * @param targetDisk the disk with which the receiver is listed
     * @param lastIndex the sender's last entry
     * @param lastTerm the term of that entry
     */
    record PreVoteRequest(long term, long targetDisk, long lastIndex, long lastTerm) implements ConsensusMessage {}

    /**
     * Answers {@link PreVoteRequest}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param requestedTerm the term of the request
     * @param granted true if the sender would vote for the receiver
     */
    record PreVoteResponse(long term, long diskId, long requestedTerm, boolean granted) implements ConsensusMessage {}

    /**
     * Asks for a vote.
     *
     * @param term the term that the sender stands in
     * @param targetDisk the disk with which the receiver is listed
     * @param lastIndex the sender's last entry
     * @param lastTerm the term of that entry
     * @param transfer true if the leader itself asked the sender to stand
     */
    record VoteRequest(long term, long targetDisk, long lastIndex, long lastTerm, boolean transfer)
            implements ConsensusMessage {}

    /**
     * Answers {@link VoteRequest}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param granted true if the sender votes for the receiver in this term
     */
    record VoteResponse(long term, long diskId, boolean granted) implements ConsensusMessage {}

    /**
     * Brings entries, or none as a heartbeat.
     *
     * @param term the leader's term
     * @param previousIndex the entry before the first one sent
     * @param previousTerm the term of that entry
     * @param entries the entries, not null
     * @param commitIndex the last entry that the leader knows to be committed
     * @param round the leader's latest round of confirming its leadership
     */
    record AppendRequest(
            long term, long previousIndex, long previousTerm, List<LogEntry> entries, long commitIndex, long round)
            implements ConsensusMessage {}

    /**
     * Answers {@link AppendRequest}, after the entries are durable.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param accepted true if the sender's log agrees with the leader's up to {@code index}
     * @param index the last entry known to agree, or the previous entry that did not match
     * @param nextIndex where the leader should go on when the request was not accepted
     * @param round the round of the request
     */
    record AppendResponse(long term, long diskId, boolean accepted, long index, long nextIndex, long round)
            implements ConsensusMessage {}

    /**
     * Brings a part of a snapshot.
     *
     * @param term the leader's term
     * @param header the whole snapshot, not null
     * @param offset where the part begins, in bytes
     * @param data the part, not null
     */
    record SnapshotPiece(long term, SnapshotHeader header, long offset, Payload data) implements ConsensusMessage {}

    /**
     * Answers {@link SnapshotPiece}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param snapshotIndex the index of the snapshot
     * @param receivedBytes how much of it has arrived, from its beginning
     * @param installed true if the sender has made the whole snapshot durable
     */
    record SnapshotPieceResponse(long term, long diskId, long snapshotIndex, long receivedBytes, boolean installed)
            implements ConsensusMessage {}

    /**
     * Asks the receiver to stand for election at once.
     *
     * @param term the leader's term
     */
    record TimeoutNow(long term) implements ConsensusMessage {}

    /**
     * Asks whether the receiver belongs to a group already.
     *
     * @param term the sender's term
     * @param requestingDisk the sender's disk
     */
    record DiscoveryRequest(long term, long requestingDisk) implements ConsensusMessage {}

    /**
     * Answers {@link DiscoveryRequest}.
     *
     * @param term the sender's term
     * @param diskId the sender's disk
     * @param requestingDisk the disk that the request named
     * @param initialised true if the disk of the sender holds anything of a group
     * @param mayBootstrap true if the sender may found the group itself
     */
    record DiscoveryResponse(long term, long diskId, long requestingDisk, boolean initialised, boolean mayBootstrap)
            implements ConsensusMessage {}
}
