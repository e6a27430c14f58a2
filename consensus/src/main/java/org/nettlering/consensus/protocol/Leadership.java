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
final class Leadership {
    /** What the member knows. */
    private final MemberState state;

    /** Changes the role. */
    private final RoleChanges roles;

    /** Tells how far the state machine is. */
    private final ApplyQueue applyQueue;

    /** The proposals that wait for their outcome. */
    private final Proposals proposals;

    /** The reads that wait for confirmation. */
    private final ReadRounds reads;

    /** Sends entries and snapshots. */
    private final Replicator replicator;

    /** The other members, learners included. */
    private final Map<MemberId, Replica> replicas = new TreeMap<>();

    /** The last entry that is durable here. */
    private long durableIndex;

    /** The first entry of the current term. */
    private long termStartIndex;

    /** How much was appended and is not committed, in bytes. */
    private long uncommittedBytes;

    /** When heartbeats are due, by the monotonic clock. */
    private long heartbeatDueNanos;

    Leadership(MemberState state, RoleChanges roles, ApplyQueue applyQueue, Proposals proposals) {
        this.state = state;
        this.roles = roles;
        this.applyQueue = applyQueue;
        this.proposals = proposals;
        reads = new ReadRounds(state.outbox);
        replicator = new Replicator(state);
    }

    void start() {
        replicas.clear();
        uncommittedBytes = 0;
        durableIndex = 0;
        termStartIndex = state.log.lastIndex() + 1;
        addReplicas();
        whenDurable(state.log.lastIndex());
        state.outbox.report(new LeadershipGained(state.term));
        append(LogEntry.Kind.NO_OP, Payload.EMPTY);
        heartbeat();
    }

    void stop(String reason) {
        String message = "leadership of term " + state.term + " was lost: " + reason;
        proposals.failAfter(state.commitIndex, new NettleringException(ErrorCode.OUTCOME_UNKNOWN, message));
        reads.fail(new NettleringException(ErrorCode.NOT_LEADER, message));
        replicas.clear();
        replicator.releaseSnapshot(replicas.values());
    }

    void closeReads(RuntimeException failure) {
        reads.failAll(failure);
    }

    private void addReplicas() {
        replicas.keySet().removeIf(id -> state.membership().find(id).isEmpty());
        for (Member member : state.membership().members()) {
            if (!member.id().equals(state.self)) {
                replicas.computeIfAbsent(
                        member.id(), id -> new Replica(member, state.log.lastIndex() + 1, state.time.nanoTime()));
            }
        }
    }

    Collection<Replica> replicas() {
        return Collections.unmodifiableCollection(replicas.values());
    }

    Optional<Replica> replica(MemberId id) {
        return Optional.ofNullable(replicas.get(id));
    }

    /** Tells whether an entry of the current term is committed, so that the commit index is known to be current. */
    boolean hasCommittedInTerm() {
        return state.commitIndex >= termStartIndex;
    }

    boolean isReady() {
        return applyQueue.appliedIndex() >= termStartIndex;
    }

    void propose(byte[] command, CompletableFuture<byte[]> future) {
        if (uncommittedBytes >= state.settings.maxUncommittedBytes()) {
            NettleringException overloaded = new NettleringException(
                    ErrorCode.OVERLOADED, uncommittedBytes + " bytes of the log wait to be committed");
            state.outbox.later(() -> future.completeExceptionally(overloaded));
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
            addReplicas();
        }
        whenDurable(entry.index());
        return entry;
    }

    private void whenDurable(long index) {
        long term = state.term;
        state.outbox.whenDurable(() -> {
            if (state.role == Role.LEADER && state.term == term) {
                durableIndex = Math.max(durableIndex, index);
                advanceCommit();
            }
        });
    }

    void replicate() {
        replicas.values().forEach(replica -> replicator.sendEntries(replica, reads.startedRound()));
    }

    private void heartbeat() {
        heartbeatDueNanos =
                state.time.nanoTime() + state.settings.heartbeatInterval().toNanos();
        replicas.values().forEach(replica -> replicator.sendHeartbeat(replica, reads.startedRound()));
    }

    void tick() {
        if (!hearsQuorum()) {
            roles.becomeFollower(state.term, "no majority answered within the election timeout");
            return;
        }
        if (state.time.nanoTime() - heartbeatDueNanos >= 0) {
            heartbeat();
        }
        replicator.releaseSnapshot(replicas.values());
    }

    private boolean hearsQuorum() {
        long now = state.time.nanoTime();
        long timeout = state.settings.electionTimeout().toNanos();
        long heard = countVoters(replica -> now - replica.lastHeardNanos < timeout ? 1L : 0L, 1L).stream()
                .filter(value -> value > 0)
                .count();
        return heard >= state.membership().quorum();
    }

    /** Returns a figure for each voter, zero for one that answers with another disk than the listed one. */
    private List<Long> countVoters(ToLongFunction<Replica> figure, long own) {
        List<Long> figures = new ArrayList<>();
        for (Member voter : state.membership().voters()) {
            Replica replica = replicas.get(voter.id());
            if (replica == null) {
                figures.add(voter.id().equals(state.self) ? own : 0L);
                continue;
            }
            figures.add(replica.countsFor(voter) ? figure.applyAsLong(replica) : 0L);
        }
        return figures;
    }

    /** Returns the highest figure that a majority of the voters has reached. */
    private long reachedByMajority(ToLongFunction<Replica> figure, long own) {
        List<Long> figures = countVoters(figure, own);
        if (figures.isEmpty()) {
            return 0L;
        }
        Collections.sort(figures);
        return figures.get(figures.size() - state.membership().quorum());
    }

    private void advanceCommit() {
        long reached = reachedByMajority(replica -> replica.matchIndex, durableIndex);
        if (reached <= state.commitIndex || state.log.termAt(reached) != state.term) {
            return;
        }
        for (long index = Math.max(state.commitIndex + 1, termStartIndex); index <= reached; index++) {
            uncommittedBytes -= state.log.get(index).sizeBytes();
        }
        state.commitIndex = reached;
    }

    void receive(MemberId from, AppendResponse response) {
        Replica replica = replicas.get(from);
        if (replica == null || !replica.heard(response.diskId(), state.time.nanoTime())) {
            return;
        }
        replicator.receive(replica, response, reads.startedRound());
        advanceCommit();
        confirmReads();
    }

    void receive(MemberId from, SnapshotPieceResponse response) {
        Replica replica = replicas.get(from);
        if (replica == null || !replica.heard(response.diskId(), state.time.nanoTime())) {
            return;
        }
        replicator.receive(replica, response, reads.startedRound());
        advanceCommit();
    }

    /** Begins a round that the members answer from now on, and returns its number. */
    long beginRound() {
        long round = reads.begin();
        heartbeat();
        return round;
    }

    void read(CompletableFuture<Void> future) {
        if (reads.add(state.commitIndex, future)) {
            heartbeat();
            confirmReads();
        }
    }

    private void confirmReads() {
        long round = reachedByMajority(replica -> replica.answeredRound, reads.startedRound());
        while (reads.answered(round, applyQueue.appliedIndex())) {
            heartbeat();
            round = reachedByMajority(replica -> replica.answeredRound, reads.startedRound());
        }
    }

    void applied() {
        reads.applied(applyQueue.appliedIndex());
    }

    void snapshotLoaded(StoredSnapshot snapshot) {
        replicator.loaded(snapshot, replicas.values());
    }
}
