package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.ToLongFunction;
import org.nettlering.consensus.ConsensusListener.LeadershipGained;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusMessage.SnapshotPieceResponse;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** The leader role: appends and replicates entries, advances the commit index, confirms reads and steps down. */
final class Leader {
    private final MemberState state;
    private final RoleTransitions roles;
    private final ApplyQueue applyQueue;
    private final PendingProposals proposals;
    private final ReadIndexQueue reads;
    private final Replicator replicator;

    /** The replication progress of the other members, learners included. */
    private final Map<MemberId, ReplicaProgress> replicas = new TreeMap<>();

    /** Index of the last entry that is durable on this member's disk. */
    private long durableIndex;

    /** Index of the first entry of the current term. */
    private long termStartIndex;

    /** Size of the entries appended in this term and not committed. */
    private long uncommittedBytes;

    /** Time of the next heartbeats, by the monotonic clock. */
    private long nextHeartbeatNanos;

    Leader(MemberState state, RoleTransitions roles, ApplyQueue applyQueue, PendingProposals proposals) {
        this.state = state;
        this.roles = roles;
        this.applyQueue = applyQueue;
        this.proposals = proposals;
        reads = new ReadIndexQueue(state.outbox);
        replicator = new Replicator(state);
    }

    void start() {
        replicas.clear();
        uncommittedBytes = 0;
        durableIndex = 0;
        termStartIndex = state.log.lastIndex() + 1;
        updateReplicas();
        whenDurable(state.log.lastIndex());
        state.outbox.report(new LeadershipGained(state.term));
        append(LogEntry.Kind.NO_OP, Payload.EMPTY);
        sendHeartbeats();
    }

    void stop(String reason) {
        String message = "lost leadership of term " + state.term + ": " + reason;
        proposals.failAfter(state.commitIndex, new NettleringException(ErrorCode.OUTCOME_UNKNOWN, message));
        reads.failUnconfirmed(new NettleringException(ErrorCode.NOT_LEADER, message));
        replicas.clear();
        replicator.releaseSnapshot(replicas.values());
    }

    void failReads(RuntimeException failure) {
        reads.failAll(failure);
    }

    private void updateReplicas() {
        replicas.keySet().removeIf(id -> state.membership().find(id).isEmpty());
        for (Member member : state.membership().members()) {
            if (!member.id().equals(state.self)) {
                replicas.computeIfAbsent(
                        member.id(),
                        id -> new ReplicaProgress(member, state.log.lastIndex() + 1, state.time.nanoTime()));
            }
        }
    }

    Collection<ReplicaProgress> replicas() {
        return Collections.unmodifiableCollection(replicas.values());
    }

    Optional<ReplicaProgress> replica(MemberId id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /** Returns whether an entry of the current term is committed; only then is the commit index known to be up to date. */
    boolean hasCommittedInCurrentTerm() {
        return state.commitIndex >= termStartIndex;
    }

    /** Returns whether the state machine includes the first entry of this term and thus all entries of earlier terms. */
    boolean hasAppliedEarlierTerms() {
        return applyQueue.appliedIndex() >= termStartIndex;
    }

    void propose(byte[] command, CompletableFuture<byte[]> future) {
        if (uncommittedBytes >= state.settings.maxUncommittedBytes()) {
            NettleringException overloaded = new NettleringException(
                    ErrorCode.OVERLOADED,
                    uncommittedBytes + " bytes of the log are not committed; the limit is reached");
            state.outbox.runOutsideLock(() -> future.completeExceptionally(overloaded));
            return;
        }
        LogEntry entry = append(LogEntry.Kind.COMMAND, Payload.of(command));
        proposals.add(entry, future);
        replicate();
    }

    LogEntry append(LogEntry.Kind kind, Payload payload) {
        LogEntry entry = new LogEntry(state.log.lastIndex() + 1, state.term, kind, payload);
        uncommittedBytes += entry.sizeBytes();
        state.append(List.of(entry));
        if (kind == LogEntry.Kind.MEMBERSHIP) {
            updateReplicas();
        }
        whenDurable(entry.index());
        return entry;
    }

    private void whenDurable(long index) {
        long term = state.term;
        state.outbox.whenDurable(() -> {
            if (state.role == Role.LEADER && state.term == term) {
                durableIndex = Math.max(durableIndex, index);
                advanceCommitIndex();
            }
        });
    }

    void replicate() {
        replicas.values().forEach(replica -> replicator.sendEntries(replica, reads.startedRound()));
    }

    private void sendHeartbeats() {
        nextHeartbeatNanos =
                state.time.nanoTime() + state.settings.heartbeatInterval().toNanos();
        replicas.values().forEach(replica -> replicator.sendHeartbeat(replica, reads.startedRound()));
    }

    void tick() {
        if (!hasQuorumContact()) {
            roles.becomeFollower(state.term, "no quorum of the voters responded within the election timeout");
            return;
        }
        if (state.time.nanoTime() - nextHeartbeatNanos >= 0) {
            sendHeartbeats();
        }
        replicator.releaseSnapshot(replicas.values());
    }

    /** Returns whether a quorum of the voters, this member included, has responded within the election timeout. */
    private boolean hasQuorumContact() {
        long now = state.time.nanoTime();
        long timeout = state.settings.electionTimeout().toNanos();
        long reachableVoters = voterValues(replica -> now - replica.lastContactNanos < timeout ? 1L : 0L, 1L).stream()
                .filter(value -> value > 0)
                .count();
        return reachableVoters >= state.membership().quorum();
    }

    /** Returns a value for each voter; zero for a voter whose disk is not the one listed in the membership. */
    private List<Long> voterValues(ToLongFunction<ReplicaProgress> valueOf, long ownValue) {
        List<Long> values = new ArrayList<>();
        for (Member voter : state.membership().voters()) {
            ReplicaProgress replica = replicas.get(voter.id());
            if (replica == null) {
                values.add(voter.id().equals(state.self) ? ownValue : 0L);
                continue;
            }
            values.add(replica.isOnDiskOfVoter(voter) ? valueOf.applyAsLong(replica) : 0L);
        }
        return values;
    }

    /** Returns the highest value that a majority of the voters has reached. */
    private long valueReachedByMajority(ToLongFunction<ReplicaProgress> valueOf, long ownValue) {
        List<Long> values = voterValues(valueOf, ownValue);
        if (values.isEmpty()) {
            return 0L;
        }
        Collections.sort(values);
        return values.get(values.size() - state.membership().quorum());
    }

    /** Commits the entries that a majority stores, if the last of them is of the current term. */
    private void advanceCommitIndex() {
        long majorityIndex = valueReachedByMajority(replica -> replica.matchIndex, durableIndex);
        if (majorityIndex <= state.commitIndex || state.log.termAt(majorityIndex) != state.term) {
            return;
        }
        for (long index = Math.max(state.commitIndex + 1, termStartIndex); index <= majorityIndex; index++) {
            uncommittedBytes -= state.log.get(index).sizeBytes();
        }
        state.commitIndex = majorityIndex;
    }

    void receive(MemberId from, AppendResponse response) {
        ReplicaProgress replica = replicas.get(from);
        if (replica == null || !replica.recordResponse(response.diskId(), state.time.nanoTime())) {
            return;
        }
        replicator.receive(replica, response, reads.startedRound());
        advanceCommitIndex();
        confirmReads();
    }

    void receive(MemberId from, SnapshotPieceResponse response) {
        ReplicaProgress replica = replicas.get(from);
        if (replica == null || !replica.recordResponse(response.diskId(), state.time.nanoTime())) {
            return;
        }
        replicator.receive(replica, response, reads.startedRound());
        advanceCommitIndex();
    }

    /** Starts a heartbeat round, which only responses sent from now on acknowledge, and returns its number. */
    long startRound() {
        long round = reads.startRound();
        sendHeartbeats();
        return round;
    }

    void addRead(CompletableFuture<Void> future) {
        if (reads.add(state.commitIndex, future)) {
            sendHeartbeats();
            confirmReads();
        }
    }

    private void confirmReads() {
        long round = valueReachedByMajority(replica -> replica.acknowledgedRound, reads.startedRound());
        while (reads.confirmRound(round, applyQueue.appliedIndex())) {
            sendHeartbeats();
            round = valueReachedByMajority(replica -> replica.acknowledgedRound, reads.startedRound());
        }
    }

    void onApplied() {
        reads.onApplied(applyQueue.appliedIndex());
    }

    void onSnapshotLoaded(StoredSnapshot snapshot) {
        replicator.onSnapshotLoaded(snapshot, replicas.values());
    }
}
