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

/** What a member does only while it leads: appends, replicates, commits, confirms reads and steps down. */
final class Leader {
    /** What the member knows. */
    private final MemberState state;

    /** Changes the role. */
    private final RoleTransitions roles;

    /** Tells how far the state machine is. */
    private final ApplyQueue applyQueue;

    /** The proposals that wait for their outcome. */
    private final PendingProposals proposals;

    /** The reads that wait for confirmation. */
    private final ReadIndexQueue reads;

    /** Sends entries and snapshots. */
    private final Replicator replicator;

    /** The other members, learners included. */
    private final Map<MemberId, ReplicaProgress> replicas = new TreeMap<>();

    /** The last entry that is durable here. */
    private long durableIndex;

    /** The first entry of the current term. */
    private long termStartIndex;

    /** How much was appended and is not committed, in bytes. */
    private long uncommittedBytes;

    /** When heartbeats are due, by the monotonic clock. */
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
        String message = "leadership of term " + state.term + " was lost: " + reason;
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

    /** Tells whether an entry of the current term is committed, so that the commit index is known to be current. */
    boolean hasCommittedInCurrentTerm() {
        return state.commitIndex >= termStartIndex;
    }

    boolean hasAppliedEarlierTerms() {
        return applyQueue.appliedIndex() >= termStartIndex;
    }

    void propose(byte[] command, CompletableFuture<byte[]> future) {
        if (uncommittedBytes >= state.settings.maxUncommittedBytes()) {
            NettleringException overloaded = new NettleringException(
                    ErrorCode.OVERLOADED, uncommittedBytes + " bytes of the log wait to be committed");
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
            roles.becomeFollower(state.term, "no majority answered within the election timeout");
            return;
        }
        if (state.time.nanoTime() - nextHeartbeatNanos >= 0) {
            sendHeartbeats();
        }
        replicator.releaseSnapshot(replicas.values());
    }

    private boolean hasQuorumContact() {
        long now = state.time.nanoTime();
        long timeout = state.settings.electionTimeout().toNanos();
        long reachableVoters = voterValues(replica -> now - replica.lastContactNanos < timeout ? 1L : 0L, 1L).stream()
                .filter(value -> value > 0)
                .count();
        return reachableVoters >= state.membership().quorum();
    }

    /** Returns a figure for each voter, zero for one that answers with another disk than the listed one. */
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

    /** Returns the highest figure that a majority of the voters has reached. */
    private long valueReachedByMajority(ToLongFunction<ReplicaProgress> valueOf, long ownValue) {
        List<Long> values = voterValues(valueOf, ownValue);
        if (values.isEmpty()) {
            return 0L;
        }
        Collections.sort(values);
        return values.get(values.size() - state.membership().quorum());
    }

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

    /** Begins a round that the members answer from now on, and returns its number. */
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
