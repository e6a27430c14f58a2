package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.CommandFailed;
import org.nettlering.consensus.ConsensusListener.LeadershipLost;
import org.nettlering.consensus.ConsensusListener.SnapshotSaved;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusMessage.DiscoveryRequest;
import org.nettlering.consensus.ConsensusMessage.DiscoveryResponse;
import org.nettlering.consensus.ConsensusMessage.PreVoteRequest;
import org.nettlering.consensus.ConsensusMessage.PreVoteResponse;
import org.nettlering.consensus.ConsensusMessage.SnapshotPiece;
import org.nettlering.consensus.ConsensusMessage.SnapshotPieceResponse;
import org.nettlering.consensus.ConsensusMessage.TimeoutNow;
import org.nettlering.consensus.ConsensusMessage.VoteRequest;
import org.nettlering.consensus.ConsensusMessage.VoteResponse;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.LogStorage.StoredState;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;

/**
 * The consensus protocol of one member; dispatches messages and requests to its parts. Used under the lock of
 * {@code ConsensusNode}.
 */
public final class MemberProtocol implements RoleTransitions {
    /**
     * Acknowledges no read round; a response to a leader of an earlier term must not confirm the leader of the current
     * term.
     */
    private static final long NO_READ_ROUND = 0L;

    private final MemberState state;
    private final ApplyQueue applyQueue;
    private final PendingProposals proposals;
    private final Bootstrap bootstrap;
    private final Elections elections;
    private final Follower follower;
    private final Leader leader;
    private final MembershipChanges membershipChanges;
    private final LeadershipTransfer leadershipTransfer;

    /**
     * Creates the protocol of a member from its durable state.
     *
     * @param identity the id and disk of the member, not null
     * @param initialMembers the members that may bootstrap the group, not null
     * @param settings the timeouts and limits, not null
     * @param time the clock, not null
     * @param random the source of random election timeouts, not null
     * @param outbox collects the effects of the protocol, not null
     * @param stored the durable state at startup, not null
     */
    public MemberProtocol(
            Identity identity,
            List<Member> initialMembers,
            ConsensusSettings settings,
            TimeSource time,
            RandomGenerator random,
            Outbox outbox,
            StoredState stored) {
        state = new MemberState(identity.self(), identity.diskId(), settings, time, outbox, stored);
        applyQueue = new ApplyQueue(state);
        stored.snapshot().ifPresent(applyQueue::restore);
        proposals = new PendingProposals(outbox);
        bootstrap = new Bootstrap(state, initialMembers);
        elections = new Elections(state, this, random);
        follower = new Follower(state, applyQueue);
        leader = new Leader(state, this, applyQueue, proposals);
        membershipChanges = new MembershipChanges(state, leader);
        leadershipTransfer = new LeadershipTransfer(state, leader);
        if (!state.membership().members().isEmpty()) {
            state.reportMembership();
        }
    }

    /** Identifies a member and its disk. */
    public record Identity(MemberId self, long diskId) {}

    /** Handles expired timeouts: discovery, elections, heartbeats, membership changes and leadership transfer. */
    public void tick() {
        if (bootstrap.tick()) {
            elections.expireElectionTimeout();
        }
        elections.tick();
        if (state.role != Role.LEADER) {
            return;
        }
        leader.tick();
        if (state.role == Role.LEADER) {
            membershipChanges.tick();
            leadershipTransfer.tick();
            advancePendingChanges();
        }
    }

    /** Processes a message from another member. */
    public void receive(MemberId from, ConsensusMessage message) {
        switch (message) {
            case PreVoteRequest request -> elections.receive(from, request);
            case PreVoteResponse response -> elections.receive(from, response);
            case VoteRequest request -> elections.receive(from, request);
            case VoteResponse response -> elections.receive(from, response);
            case TimeoutNow request -> elections.receive(request);
            case AppendRequest request -> receive(from, request);
            case SnapshotPiece piece -> receive(from, piece);
            case AppendResponse response -> receive(from, response);
            case SnapshotPieceResponse response -> receive(from, response);
            case DiscoveryRequest request -> bootstrap.receive(from, request);
            case DiscoveryResponse response -> receive(from, response);
        }
    }

    private void receive(MemberId from, AppendRequest request) {
        if (!acceptLeader(from, request.term())) {
            state.outbox.sendWhenDurable(
                    from, new AppendResponse(state.term, state.diskId, false, 0L, 0L, NO_READ_ROUND));
            return;
        }
        follower.receive(from, request);
    }

    private void receive(MemberId from, SnapshotPiece piece) {
        if (!acceptLeader(from, piece.term())) {
            state.outbox.sendWhenDurable(
                    from,
                    new SnapshotPieceResponse(
                            state.term, state.diskId, piece.header().index(), 0L, false));
            return;
        }
        follower.receive(from, piece);
    }

    /** Follows the sender as the leader of its term, unless that term is outdated; returns whether it was accepted. */
    private boolean acceptLeader(MemberId from, long leaderTerm) {
        if (leaderTerm < state.term) {
            return false;
        }
        if (leaderTerm == state.term && state.role == Role.LEADER) {
            throw new IllegalStateException(
                    "members " + state.self + " and " + from + " are both leaders of term " + leaderTerm);
        }
        if (leaderTerm > state.term || state.role != Role.FOLLOWER) {
            becomeFollower(leaderTerm, "member " + from + " is the leader of term " + leaderTerm);
        }
        state.recordLeaderContact(from);
        elections.resetElectionTimeout();
        return true;
    }

    private void receive(MemberId from, AppendResponse response) {
        if (isForCurrentLeadership(response)) {
            leader.receive(from, response);
            advancePendingChanges();
        }
    }

    private void receive(MemberId from, SnapshotPieceResponse response) {
        if (isForCurrentLeadership(response)) {
            leader.receive(from, response);
            advancePendingChanges();
        }
    }

    /** Returns whether a response belongs to the current leadership; steps down if it has a higher term. */
    private boolean isForCurrentLeadership(ConsensusMessage response) {
        if (response.term() > state.term) {
            becomeFollower(response.term(), "received a response with a higher term");
            return false;
        }
        return response.term() == state.term && state.role == Role.LEADER;
    }

    private void receive(MemberId from, DiscoveryResponse response) {
        if (bootstrap.receive(from, response)) {
            elections.expireElectionTimeout();
        }
    }

    @Override
    public void becomeFollower(long term, String reason) {
        boolean wasLeader = state.role == Role.LEADER;
        state.role = Role.FOLLOWER;
        if (wasLeader) {
            leader.stop(reason);
            membershipChanges.onLeadershipLost();
            leadershipTransfer.onLeadershipLost();
            state.outbox.report(new LeadershipLost(state.term, reason));
        }
        if (term > state.term) {
            state.term = term;
            state.votedFor = null;
            state.saveVote();
        }
        state.leader = null;
        elections.resetElectionTimeout();
    }

    @Override
    public void becomeLeader() {
        state.role = Role.LEADER;
        state.recordLeaderContact(state.self);
        leader.start();
    }

    private void advancePendingChanges() {
        membershipChanges.advance();
        leadershipTransfer.sendTimeoutNowIfCaughtUp();
    }

    /** Records that the given number of writes, in the order of their requests, became durable. */
    public void onWritesDurable(int writes) {
        state.outbox.onWritesDurable(writes);
        if (state.role == Role.LEADER) {
            advancePendingChanges();
        }
    }

    /** Appends a command to the log; the future completes with the result once the command is applied, or fails. */
    public void propose(byte[] command, CompletableFuture<byte[]> future) {
        if (state.role != Role.LEADER || leadershipTransfer.isActive()) {
            rejectNotLeader(future);
            return;
        }
        leader.propose(command, future);
    }

    /**
     * Requests a linearizable read; the future completes once the leadership is confirmed and the read index applied, or
     * fails.
     */
    public void readIndex(CompletableFuture<Void> future) {
        if (state.role != Role.LEADER || !leader.hasCommittedInCurrentTerm()) {
            rejectNotLeader(future);
            return;
        }
        leader.addRead(future);
    }

    /** Adds a member as a learner; the future completes once the change is committed, or fails. */
    public void addMember(Member member, CompletableFuture<Void> future) {
        if (state.role != Role.LEADER) {
            rejectNotLeader(future);
            return;
        }
        membershipChanges.add(member, future);
    }

    /** Removes a member; the future completes once the change is committed, or fails. */
    public void removeMember(MemberId id, CompletableFuture<Void> future) {
        if (state.role != Role.LEADER) {
            rejectNotLeader(future);
            return;
        }
        membershipChanges.remove(id, future);
    }

    /**
     * Transfers leadership to the target or to the most up-to-date voter; the future completes when this member steps down,
     * or fails.
     */
    public void transferLeadership(Optional<MemberId> target, CompletableFuture<Void> future) {
        if (state.role != Role.LEADER) {
            rejectNotLeader(future);
            return;
        }
        leadershipTransfer.start(target, future);
    }

    private void rejectNotLeader(CompletableFuture<?> future) {
        String leaderDescription = state.leader == null ? "no leader is known" : "the leader is " + state.leader;
        NettleringException rejection = new NettleringException(
                ErrorCode.NOT_LEADER,
                "member " + state.self + " is not the leader or is transferring leadership; " + leaderDescription);
        state.outbox.runOutsideLock(() -> future.completeExceptionally(rejection));
    }

    /** Returns whether there is work for the state machine. */
    public boolean hasApplyStep() {
        return applyQueue.hasStep();
    }

    /** Removes and returns the next work for the state machine, or null if there is none. */
    public @Nullable ApplyStep nextApplyStep() {
        return applyQueue.nextStep();
    }

    /** Records that the state machine has restored a snapshot. */
    public void onSnapshotRestored(SnapshotHeader header) {
        applyQueue.onApplied(header.index());
        proposals.failUpTo(
                header.index(),
                new NettleringException(
                        ErrorCode.OUTCOME_UNKNOWN,
                        "the result is unknown because the entry is included in a snapshot up to index "
                                + header.index()));
        leader.onApplied();
    }

    /** Records that the state machine could not apply a command; it counts as applied, without a result. */
    public void onCommandFailed(LogEntry entry, RuntimeException failure) {
        proposals.fail(entry, failure);
        state.outbox.report(new CommandFailed(entry.index(), failure));
    }

    /** Records that the state machine has applied entries and completes their proposals with the results. */
    public void onEntriesApplied(List<LogEntry> entries, List<byte[]> results) {
        applyQueue.onApplied(entries.getLast().index());
        for (int position = 0; position < entries.size(); position++) {
            proposals.complete(entries.get(position), results.get(position));
        }
        leader.onApplied();
    }

    /** Records that a snapshot of this member's state is durable, and discards the entries that it makes unnecessary. */
    public void onSnapshotSaved(SnapshotHeader header) {
        if (header.index() <= state.snapshot.index()) {
            return;
        }
        state.snapshot = header;
        long discardable = state.log.discardableUpTo(
                header.index(), state.settings.trailingEntries(), state.settings.trailingBytes());
        state.log.discardUpTo(discardable);
        state.membershipHistory.discardBefore(discardable);
        state.outbox.write(new DiskWrite.Discard(header.index()));
        state.outbox.report(new SnapshotSaved(header.index(), header.sizeBytes()));
    }

    /** Provides the stored snapshot for members that need it. */
    public void onSnapshotLoaded(StoredSnapshot snapshot) {
        if (state.role == Role.LEADER) {
            leader.onSnapshotLoaded(snapshot);
        }
    }

    /** Steps down and fails all pending requests. */
    public void stop() {
        if (state.role == Role.LEADER) {
            becomeFollower(state.term, "the member is stopping");
        }
        NettleringException outcomeUnknown =
                new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "the member is stopping");
        proposals.failAfter(0L, outcomeUnknown);
        leader.failReads(new NettleringException(ErrorCode.STOPPING, "the member is stopping"));
    }

    /** Returns whether the member is the leader and has applied every entry of earlier terms. */
    public boolean isReadyLeader() {
        return state.role == Role.LEADER && leader.hasAppliedEarlierTerms();
    }

    /** Returns the status of the member and, if it is the leader, of the other members. */
    public ConsensusStatus status() {
        List<ConsensusStatus.Progress> progress = new ArrayList<>();
        long now = state.time.nanoTime();
        for (ReplicaProgress replica : leader.replicas()) {
            Optional<Member> member = state.membership().find(replica.id);
            boolean sameDisk = member.isPresent() && (!member.get().voting() || replica.isOnDiskOfVoter(member.get()));
            long sinceContactNanos = now - replica.lastContactNanos;
            boolean reachable = sameDisk && replica.isReachable(now, state.settings.electionTimeout());
            progress.add(new ConsensusStatus.Progress(
                    replica.id, replica.matchIndex, sinceContactNanos / 1_000_000, sameDisk, reachable));
        }
        return new ConsensusStatus(
                state.self,
                state.diskId,
                state.term,
                Optional.ofNullable(state.leader),
                state.membership(),
                !membershipChanges.hasUncommittedMembership(),
                state.log.lastIndex(),
                state.log.sizeBytes(),
                state.commitIndex,
                applyQueue.appliedIndex(),
                state.snapshot.index(),
                progress);
    }
}
