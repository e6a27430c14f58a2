package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusExecutors;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusPorts;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.ReplicatedStateMachine;
import org.nettlering.consensus.simulation.SimulatedFolder;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.time.TimeSource;

class VoterRemovalTest {
    private static final Duration LONG = Duration.ofSeconds(13);

    /** Less than the interval of the members' timers, so that the checks come between these. */
    private static final Duration BETWEEN_TIMERS = Duration.ofMillis(25);

    private static final List<MemberId> IDS =
            Stream.of("a", "b", "c", "d", "e").map(MemberId::of).toList();

    private final ManualTime timers = ManualTime.startingAt(Instant.EPOCH);

    private final JumpingTime time = new JumpingTime();

    private final Map<MemberId, ConsensusNode> nodes = new TreeMap<>();

    private final Set<MemberId> unreachable = new HashSet<>();

    @Test
    void voterThatIsGoneIsRemovedAndTheOthersStay() {
        ConsensusNode leader = startGroup();
        MemberId gone = otherThan(leader);
        VoterRemoval.start(leader, 1, time);
        unreachable.add(gone);
        timers.advance(LONG);
        assertThat(voters(leader)).hasSize(4).doesNotContain(gone);
    }

    @Test
    void groupOfWhichTwoAreGoneSoonBearsTheLossOfOneMore() {
        ConsensusNode leader = startGroup();
        VoterRemoval.start(leader, 1, time);
        List<MemberId> others = othersThan(leader);
        unreachable.addAll(others.subList(0, 2));
        timers.advance(Duration.ofSeconds(7));
        assertThat(voters(leader)).hasSize(3);
        unreachable.add(others.get(2));
        timers.advance(Duration.ofSeconds(2));
        assertThat(leader.isReadyLeader()).isTrue();
    }

    @Test
    void removedVoterThatComesBackDeposesNobodyAndGetsItsVoteBack() {
        ConsensusNode leader = startGroup();
        MemberId gone = otherThan(leader);
        VoterRemoval.start(leader, 1, time);
        unreachable.add(gone);
        timers.advance(LONG);
        unreachable.clear();
        long term = leader.term();
        timers.advance(LONG);
        assertThat(leader.isReadyLeader()).isTrue();
        assertThat(leader.term()).isEqualTo(term);
        assertThat(Objects.requireNonNull(nodes.get(gone)).leader()).isEmpty();
        var _ = leader.addMember(Member.learner(gone, "127.0.0.1:1", gone.value()));
        timers.advance(Duration.ofSeconds(2));
        assertThat(voters(leader)).hasSize(IDS.size());
        assertThat(Objects.requireNonNull(nodes.get(gone)).leader())
                .contains(leader.status().orElseThrow().self());
    }

    @Test
    void leaderThatStoodStillRemovesNobody() {
        ConsensusNode leader = startGroup();
        timers.advance(BETWEEN_TIMERS);
        VoterRemoval.start(leader, 1, time);
        timers.advance(Duration.ofMillis(990));
        time.jump(LONG);
        timers.advance(Duration.ofSeconds(5));
        nodes.values().forEach(node -> assertThat(voters(node)).hasSize(IDS.size()));
    }

    private ConsensusNode startGroup() {
        List<Member> founders = IDS.stream()
                .map(id -> Member.learner(id, "127.0.0.1:1", id.value()))
                .toList();
        IDS.forEach(id -> nodes.put(id, create(id, founders)));
        nodes.values().forEach(ConsensusNode::start);
        timers.advance(Duration.ofSeconds(5));
        return nodes.values().stream()
                .filter(ConsensusNode::isReadyLeader)
                .findFirst()
                .orElseThrow();
    }

    private ConsensusNode create(MemberId id, List<Member> founders) {
        SplittableRandom random = new SplittableRandom(IDS.indexOf(id));
        return ConsensusNode.create(
                id,
                founders,
                ConsensusSettings.DEFAULT,
                new ConsensusPorts(
                        time,
                        FileLogStorage.open(new SimulatedFolder(random.split()), id),
                        (to, message) -> deliver(id, to, message),
                        new EmptyStateMachine(),
                        happening -> {},
                        new ConsensusExecutors(Runnable::run, Runnable::run, Runnable::run),
                        random.split()));
    }

    private void deliver(MemberId from, MemberId to, ConsensusMessage message) {
        if (!unreachable.contains(from) && !unreachable.contains(to)) {
            Objects.requireNonNull(nodes.get(to)).receive(from, message);
        }
    }

    private static MemberId otherThan(ConsensusNode leader) {
        return othersThan(leader).getFirst();
    }

    private static List<MemberId> othersThan(ConsensusNode leader) {
        MemberId self = leader.status().orElseThrow().self();
        return IDS.stream().filter(id -> !id.equals(self)).toList();
    }

    private static List<MemberId> voters(ConsensusNode node) {
        return node.status().orElseThrow().membership().voters().stream()
                .map(Member::id)
                .toList();
    }

    /** A clock that can jump while no timer runs, as it does for processes that are stopped and go on. */
    private final class JumpingTime implements TimeSource {
        private Duration jumped = Duration.ZERO;

        void jump(Duration duration) {
            jumped = jumped.plus(duration);
        }

        @Override
        public Instant instant() {
            return timers.instant().plus(jumped);
        }

        @Override
        public long nanoTime() {
            return timers.nanoTime() + jumped.toNanos();
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return timers.schedule(delay, task);
        }
    }

    private static final class EmptyStateMachine implements ReplicatedStateMachine {
        @Override
        public byte[] apply(long index, byte[] command) {
            return command;
        }

        @Override
        public CapturedState capture() {
            return () -> new byte[0];
        }

        @Override
        public void restore(byte[] encodedState) {}
    }
}
