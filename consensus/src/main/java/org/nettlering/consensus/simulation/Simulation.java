package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SortedMap;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.domain.time.ManualTime;

/**
 * One seeded run of a group under faults.
 *
 * <p>Clients propose and read all the time. First faults strike at random; then everything is healed, and the group has to
 * agree and to go on. Not thread-safe.
 */
public final class Simulation {
    /** How long faults strike. */
    private static final Duration FAULT_PHASE = Duration.ofSeconds(25);

    /** How long the healed group may take to agree. */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(60);

    /** The time between two looks at the run. */
    private static final Duration STEP = Duration.ofMillis(20);

    /** The times and limits of the members, small so that every limit is met in a short run. */
    private static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT
            .withTimes(Duration.ofMillis(50), Duration.ofMillis(300))
            .withSnapshots(2_000, 10, 256)
            .withFlow(400, 3, 4_000);

    /** The seed. */
    private final long seed;

    /** The clock. */
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    /** Draws everything that is random. */
    private final SplittableRandom random;

    /** What happened. */
    private final History history = new History();

    /** The network. */
    private final SimulatedNetwork network;

    /** The members. */
    private final TreeMap<MemberId, SimulatedMember> members = new TreeMap<>();

    /** What the members share. */
    private final SimulatedMember.Environment environment;

    /** The faults. */
    private final Faults faults;

    /** The clients. */
    private final Clients clients;

    /**
     * Creates a run.
     *
     * @param seed the seed
     * @return the run, never null
     */
    public static Simulation ofSeed(long seed) {
        return new Simulation(seed);
    }

    private Simulation(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
        network = new SimulatedNetwork(time, random.split(), this::deliver);
        List<Member> initialMembers = new ArrayList<>();
        int size = random.nextInt(4) == 0 ? 5 : 3;
        for (int number = 0; number < size; number++) {
            initialMembers.add(describe(idOf(number)));
        }
        environment =
                new SimulatedMember.Environment(time, random.split(), network, history, initialMembers, settings());
        initialMembers.forEach(member -> addProcess(member.id()));
        faults = new Faults(this, random.split());
        clients = new Clients(this, random.split());
    }

    /** Returns the settings of the run; in a part of the runs elections are as quick as messages, so that they collide. */
    private ConsensusSettings settings() {
        return random.nextInt(4) == 0 ? SETTINGS.withTimes(Duration.ofMillis(20), Duration.ofMillis(60)) : SETTINGS;
    }

    static MemberId idOf(int number) {
        return MemberId.of("member-" + number);
    }

    static Member describe(MemberId id) {
        return Member.learner(id, "127.0.0.1:1", "domain-" + id);
    }

    SimulatedMember addProcess(MemberId id) {
        return members.computeIfAbsent(id, added -> new SimulatedMember(added, environment));
    }

    private void deliver(MemberId from, MemberId to, ConsensusMessage message) {
        SimulatedMember receiver = members.get(to);
        if (receiver != null) {
            receiver.receive(from, message);
        }
    }

    ManualTime time() {
        return time;
    }

    History history() {
        return history;
    }

    SimulatedNetwork network() {
        return network;
    }

    SortedMap<MemberId, SimulatedMember> members() {
        return members;
    }

    /** Returns the member that leads the latest term, if any is ready. */
    Optional<SimulatedMember> leader() {
        SimulatedMember latest = null;
        long latestTerm = -1;
        for (SimulatedMember member : members.values()) {
            Optional<ConsensusNode> node = member.node();
            if (node.isPresent() && node.get().isReadyLeader() && node.get().term() > latestTerm) {
                latest = member;
                latestTerm = node.get().term();
            }
        }
        return Optional.ofNullable(latest);
    }

    /**
     * Runs the simulation.
     *
     * @return the outcome, never null
     */
    public SimulationResult run() {
        members.values().forEach(SimulatedMember::start);
        long faultsEndNanos = FAULT_PHASE.toNanos();
        while (time.nanoTime() < faultsEndNanos && history.violation().isEmpty()) {
            faults.step();
            clients.step();
            time.advance(STEP);
        }
        recover();
        return new SimulationResult(
                seed, history.violation(), history.acknowledgedCommands(), history.answeredReads(), faults.count());
    }

    private void recover() {
        faults.heal();
        long limitNanos = time.nanoTime() + RECOVERY_LIMIT.toNanos();
        long acknowledgedBefore = history.acknowledgedCommands();
        boolean agreed = false;
        while (!agreed && time.nanoTime() < limitNanos && history.violation().isEmpty()) {
            boolean progressed = history.acknowledgedCommands() > acknowledgedBefore;
            if (!progressed) {
                clients.step();
            }
            time.advance(STEP);
            agreed = progressed && isSettled();
        }
        history.require(agreed, "the healed group did not agree within " + RECOVERY_LIMIT);
        for (SimulatedMember member : listedMembers()) {
            history.finished(member.id, member.machine().register());
        }
    }

    private List<SimulatedMember> listedMembers() {
        return leader().flatMap(SimulatedMember::node).flatMap(ConsensusNode::status).stream()
                .flatMap(status -> status.membership().members().stream())
                .map(member -> addProcess(member.id()))
                .toList();
    }

    private boolean isSettled() {
        Optional<ConsensusStatus> leading =
                leader().flatMap(SimulatedMember::node).flatMap(ConsensusNode::status);
        if (leading.isEmpty()) {
            return false;
        }
        ConsensusStatus status = leading.get();
        boolean everyoneVotes = status.membership().members().stream().allMatch(Member::voting);
        boolean sameDisks = status.progress().stream().allMatch(ConsensusStatus.Progress::sameDisk);
        boolean everythingApplied = listedMembers().stream()
                .map(member -> member.node().flatMap(ConsensusNode::status))
                .allMatch(other -> other.isPresent() && other.get().appliedIndex() == status.lastIndex());
        return everyoneVotes && sameDisks && everythingApplied;
    }
}
