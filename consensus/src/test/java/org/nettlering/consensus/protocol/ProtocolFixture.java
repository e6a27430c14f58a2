package org.nettlering.consensus.protocol;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.nettlering.consensus.ConsensusListener.Event;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusMessage.PreVoteResponse;
import org.nettlering.consensus.ConsensusMessage.VoteResponse;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredState;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.Payload;
import org.nettlering.domain.time.ManualTime;

/** The protocol of one member of a group of three; the test sends the messages of the two other members. */
final class ProtocolFixture {
    static final MemberId SELF = MemberId.of("a");
    static final MemberId B = MemberId.of("b");
    static final MemberId C = MemberId.of("c");
    static final long DISK_A = 1;
    static final long DISK_B = 2;
    static final long DISK_C = 3;
    static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT;
    static final Membership MEMBERSHIP = Membership.of(List.of(
            Member.learner(SELF, "a:1", "one").withVote(DISK_A),
            Member.learner(B, "b:1", "two").withVote(DISK_B),
            Member.learner(C, "c:1", "three").withVote(DISK_C)));

    final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    final List<Sent> sent = new ArrayList<>();
    final List<Event> events = new ArrayList<>();
    final Outbox outbox = new Outbox((to, message) -> sent.add(new Sent(to, message)), events::add);
    final MemberProtocol protocol;

    record Sent(MemberId to, ConsensusMessage message) {}

    ProtocolFixture(long term, Optional<MemberId> votedFor, LogEntry... entries) {
        this(new StoredState(term, votedFor, Optional.empty(), List.of(entries)));
    }

    ProtocolFixture(StoredState stored) {
        this(stored, List.of());
    }

    ProtocolFixture(StoredState stored, List<Member> initialMembers) {
        protocol = new MemberProtocol(
                new MemberProtocol.Identity(SELF, DISK_A),
                initialMembers,
                SETTINGS,
                time,
                new SplittableRandom(1),
                outbox,
                stored);
    }

    static LogEntry bootstrapEntry() {
        return membership(1, 1, MEMBERSHIP);
    }

    static LogEntry membership(long index, long term, Membership membership) {
        return new LogEntry(index, term, LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(membership));
    }

    static LogEntry command(long index, long term) {
        return new LogEntry(index, term, LogEntry.Kind.COMMAND, Payload.of(new byte[] {(byte) index}));
    }

    /** Makes all pending writes durable and runs the resulting actions. */
    void sync() {
        int writes = outbox.takeWrites().size();
        protocol.onWritesDurable(writes);
        runActions();
    }

    void runActions() {
        outbox.takeActions().forEach(Runnable::run);
    }

    void receive(MemberId from, ConsensusMessage message) {
        protocol.receive(from, message);
        runActions();
    }

    void advance(Duration duration) {
        time.advance(duration);
        protocol.tick();
        runActions();
    }

    <T extends ConsensusMessage> List<T> sent(Class<T> type) {
        return sent.stream()
                .map(Sent::message)
                .filter(type::isInstance)
                .map(type::cast)
                .toList();
    }

    <T extends ConsensusMessage> T lastSent(Class<T> type) {
        return sent(type).getLast();
    }

    /** Makes the member win an election with the vote of B. */
    void winElection() {
        advance(SETTINGS.electionTimeout().multipliedBy(2));
        long term = protocol.status().term();
        receive(B, new PreVoteResponse(term, DISK_B, term + 1, true));
        sync();
        receive(B, new VoteResponse(term + 1, DISK_B, true));
    }

    /** Applies the next batch of committed entries with empty results. */
    void applyNextStep() {
        if (protocol.nextApplyStep() instanceof ApplyStep.Apply step) {
            List<byte[]> results =
                    step.entries().stream().map(entry -> new byte[0]).toList();
            protocol.onEntriesApplied(step.entries(), results);
        }
        runActions();
    }

    /** Acknowledges all entries up to {@code index} and the latest read round. */
    void acknowledge(MemberId from, long disk, long index) {
        long round = sent(AppendRequest.class).stream()
                .mapToLong(AppendRequest::round)
                .max()
                .orElse(0);
        receive(from, new AppendResponse(protocol.status().term(), disk, true, index, index + 1, round));
    }

    CompletableFuture<byte[]> propose() {
        CompletableFuture<byte[]> future = new CompletableFuture<>();
        protocol.propose(new byte[] {1}, future);
        runActions();
        return future;
    }

    AppendRequest append(long term, long previousIndex, long previousTerm, LogEntry... entries) {
        return new AppendRequest(term, previousIndex, previousTerm, List.of(entries), 0, 0);
    }
}
