package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.simulation.History.Acknowledgement;

/**
 * A simulation that ends with the loss of as many disks as a group bears, while all other members lose power.
 *
 * <p>The loss comes at the moment of an acknowledgement, or shortly after, while members are added, removed, readmitted with an
 * emptied disk or taking over leadership. Then the members start again, and those with an emptied disk may be stopped once more
 * or lose it again in the middle of their readmission. Nothing acknowledged may be lost, and the group has to be back in time.
 * The result of a run depends only on its seed. Not thread-safe.
 */
public final class LossSimulation {
    /** The time before the loss is due. */
    private static final Duration SETTLING = Duration.ofSeconds(3);

    /** The time after which the loss comes even if no acknowledgement of its kind was given. */
    private static final Duration LATEST_LOSS = Duration.ofSeconds(20);

    /** The time within which the group serves again, counted from the last start of a member. */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(12);

    /** The time within which members with an emptied disk vote again after that. */
    private static final Duration CATCH_UP_LIMIT = Duration.ofSeconds(4);

    private static final Duration STEP = Duration.ofMillis(10);

    /** The mean number of steps between two changes in the group. */
    private static final int STEPS_PER_CHANGE = 60;

    /** The time for which a disk hangs or is full at most. */
    private static final int MAX_DISK_FAULT_MILLIS = 4_000;

    /** The time within which the members start after the loss. */
    private static final int MAX_START_DELAY_MILLIS = 1_500;

    /** Timeouts as in operation; limits small enough that snapshots and removed segments come often. */
    private static final ConsensusSettings SETTINGS =
            ConsensusSettings.DEFAULT.withSnapshotLimits(2_000, 10, 256).withReplicationLimits(400, 3, 4_000);

    private final long seed;

    private final SplittableRandom random;

    /** The number of disks that the group has to be able to lose at once. */
    private final int tolerance;

    /** The number of members at first; no voter is removed if fewer would be left. */
    private final int size;

    private final SimulatedGroup group;

    private final SimulatedClients clients;

    /** The members with an emptied disk that have no vote with it yet. */
    private final Set<MemberId> emptied = new TreeSet<>();

    private int nextMemberNumber;

    private long changes;

    /** Whether the loss has come. */
    private boolean lost;

    /** The last moment at which a member was started after the loss. */
    private long lastStartNanos;

    /**
     * Creates the simulation of a seed.
     *
     * @param seed the seed, which determines the whole run
     * @return the simulation, never null
     */
    public static LossSimulation ofSeed(long seed) {
        return new LossSimulation(seed);
    }

    private LossSimulation(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
        tolerance = random.nextInt(3) == 0 ? 2 : 1;
        size = tolerance == 2 ? 9 : 5;
        nextMemberNumber = size;
        group = new SimulatedGroup(random.split(), size, SETTINGS);
        clients = new SimulatedClients(group, random.split());
    }

    /**
     * Runs the simulation; call it only once.
     *
     * @return the result, never null
     */
    public SimulationResult run() {
        group.startAll();
        List<Acknowledgement> occasions = List.of(Acknowledgement.values());
        Acknowledgement occasion = occasions.get(random.nextInt(occasions.size()));
        long lossDueNanos = SETTLING.plusMillis(random.nextInt(5_000)).toNanos();
        group.history().onAcknowledgement(acknowledgement -> {
            if (acknowledgement == occasion && group.time().nanoTime() >= lossDueNanos) {
                scheduleLoss();
            }
        });
        while (!lost && group.time().nanoTime() < LATEST_LOSS.toNanos() && hasNoViolation()) {
            step();
        }
        group.history().onAcknowledgement(acknowledgement -> {});
        if (!lost) {
            lose();
        }
        restart();
        checkRecovery();
        History history = group.history();
        return new SimulationResult(
                seed, history.violation(), history.acknowledgedCommands(), history.completedReads(), changes, true);
    }

    private boolean hasNoViolation() {
        return group.history().violation().isEmpty();
    }

    private void step() {
        clients.step();
        removeReadmitted();
        if (random.nextInt(STEPS_PER_CHANGE) == 0) {
            changes++;
            change();
        }
        group.advance(STEP);
    }

    private void change() {
        switch (random.nextInt(9)) {
            case 0 -> emptyOneDisk();
            case 1, 2 -> addMember();
            case 3 -> removeMember();
            case 4 -> sendToLeader(node -> node.transferLeadership(Optional.empty()));
            case 5 -> randomMember().hangDisk(Duration.ofMillis(random.nextInt(MAX_DISK_FAULT_MILLIS)));
            case 6 -> fillDisk(randomMember());
            case 7 -> group.network().setFaultProbability(random.nextDouble() * 0.1);
            default -> restartOne();
        }
    }

    private SimulatedMember randomMember() {
        List<SimulatedMember> members = List.copyOf(group.members().values());
        return members.get(random.nextInt(members.size()));
    }

    /** Lets a disk refuse writes for some time. */
    private void fillDisk(SimulatedMember member) {
        member.folder.setFull(true);
        Duration duration = Duration.ofMillis(random.nextInt(MAX_DISK_FAULT_MILLIS));
        group.time().schedule(duration, () -> member.folder.setFull(false));
    }

    private void emptyOneDisk() {
        Optional<ConsensusStatus> status = group.leaderStatus();
        if (status.isEmpty() || emptied.size() >= tolerance) {
            return;
        }
        List<Member> voters = status.get().membership().voters();
        empty(group.getOrCreateMember(voters.get(random.nextInt(voters.size())).id()));
    }

    private void empty(SimulatedMember member) {
        emptied.add(member.id);
        member.crash();
        member.folder.wipe();
        if (!lost) {
            startLater(member);
        }
    }

    private void startLater(SimulatedMember member) {
        Duration delay = Duration.ofMillis(random.nextInt(MAX_START_DELAY_MILLIS));
        group.time().schedule(delay, () -> {
            if (!lost && member.node().isEmpty()) {
                member.start();
            }
        });
    }

    private void restartOne() {
        SimulatedMember member = randomMember();
        boolean othersRun = group.members().values().stream()
                .allMatch(other -> other.id.equals(member.id) || other.node().isPresent());
        if (othersRun && emptied.isEmpty()) {
            member.crash();
            startLater(member);
        }
    }

    private void addMember() {
        Optional<ConsensusStatus> status = group.leaderStatus();
        if (status.isEmpty() || status.get().membership().members().size() > size) {
            return;
        }
        MemberId id = SimulatedGroup.idOf(nextMemberNumber++);
        group.getOrCreateMember(id).start();
        sendToLeader(node -> node.addMember(SimulatedGroup.learnerOf(id)));
    }

    /** Removes a member whose successor has its vote; it keeps its disk and may come back at any time. */
    private void removeMember() {
        Optional<ConsensusStatus> status = group.leaderStatus();
        if (status.isEmpty() || status.get().membership().voters().size() <= size || !emptied.isEmpty()) {
            return;
        }
        List<Member> members = status.get().membership().members();
        Member removed = members.get(random.nextInt(members.size()));
        sendToLeader(node -> node.removeMember(removed.id()));
    }

    private void sendToLeader(Function<ConsensusNode, CompletableFuture<Void>> request) {
        Optional<CompletableFuture<Void>> _ = group.leader()
                .flatMap(SimulatedMember::node)
                .map(request)
                .map(done -> done.thenRun(() -> group.history().acknowledge(Acknowledgement.MEMBERSHIP_CHANGE)));
    }

    /** Forgets the members that the committed membership lists as voters with their new disk, or no more. */
    private void removeReadmitted() {
        Optional<ConsensusStatus> status = group.leaderStatus().filter(ConsensusStatus::membershipCommitted);
        if (status.isEmpty()) {
            return;
        }
        emptied.removeIf(id -> {
            Optional<ConsensusStatus> own = group.getOrCreateMember(id).node().flatMap(ConsensusNode::status);
            boolean votes = own.isPresent()
                    && status.get().membership().isVoter(id, own.get().diskId());
            return votes || status.get().membership().find(id).isEmpty();
        });
    }

    private void scheduleLoss() {
        group.history().onAcknowledgement(acknowledgement -> {});
        int delayMillis = random.nextInt(3) == 0 ? random.nextInt(30) : 0;
        group.time().schedule(Duration.ofMillis(delayMillis), this::lose);
    }

    /** Empties as many disks as the group bears beyond those that are being readmitted, and cuts the power of the others. */
    private void lose() {
        lost = true;
        Set<MemberId> lostDisks = new TreeSet<>();
        emptied.stream().filter(id -> random.nextBoolean()).forEach(lostDisks::add);
        List<MemberId> others = new ArrayList<>(votersWithDisk());
        Collections.shuffle(others, new Random(random.nextLong()));
        lostDisks.addAll(others.subList(0, Math.min(others.size(), tolerance - emptied.size())));
        boolean processesOnly = random.nextInt(4) == 0;
        for (SimulatedMember member : group.members().values()) {
            member.folder.setFull(false);
            member.hangDisk(Duration.ZERO);
            if (lostDisks.contains(member.id)) {
                empty(member);
            } else if (processesOnly) {
                member.kill();
            } else {
                member.crash();
            }
        }
    }

    private List<MemberId> votersWithDisk() {
        return group.members().keySet().stream()
                .filter(id -> !emptied.contains(id))
                .toList();
    }

    /** Starts all members in any order; those with an emptied disk may be stopped again before they have their vote. */
    private void restart() {
        group.network().heal();
        for (SimulatedMember member : group.members().values()) {
            startAfterLoss(member, random.nextInt(MAX_START_DELAY_MILLIS));
            if (emptied.contains(member.id) && random.nextBoolean()) {
                stopDuringReadmission(member);
            }
        }
    }

    private void startAfterLoss(SimulatedMember member, int delayMillis) {
        Duration delay = Duration.ofMillis(delayMillis);
        lastStartNanos = Math.max(lastStartNanos, group.time().nanoTime() + delay.toNanos());
        group.time().schedule(delay, () -> {
            if (member.node().isEmpty()) {
                member.start();
            }
        });
    }

    private void stopDuringReadmission(SimulatedMember member) {
        boolean losesDiskAgain = random.nextInt(3) == 0;
        Duration delay = Duration.ofMillis(MAX_START_DELAY_MILLIS + random.nextInt(4_000));
        group.time().schedule(delay, () -> {
            removeReadmitted();
            if (losesDiskAgain && emptied.contains(member.id)) {
                empty(member);
            } else {
                member.kill();
            }
            startAfterLoss(member, random.nextInt(500));
        });
        lastStartNanos = Math.max(
                lastStartNanos, group.time().nanoTime() + delay.plusMillis(500).toNanos());
    }

    private void checkRecovery() {
        History history = group.history();
        long commandsBefore = history.acknowledgedCommands();
        long servedBy = lastStartNanos + RECOVERY_LIMIT.toNanos();
        while (history.acknowledgedCommands() == commandsBefore
                && group.time().nanoTime() < servedBy
                && hasNoViolation()) {
            clients.step();
            group.advance(STEP);
        }
        history.require(
                history.acknowledgedCommands() > commandsBefore, "the group did not serve within " + RECOVERY_LIMIT);
        long convergedBy = Math.max(group.time().nanoTime(), lastStartNanos) + CATCH_UP_LIMIT.toNanos();
        boolean converged = false;
        while (!converged && group.time().nanoTime() < convergedBy && hasNoViolation()) {
            group.advance(STEP);
            converged = group.time().nanoTime() > lastStartNanos && group.hasConverged();
        }
        history.require(converged, "the members did not catch up within " + CATCH_UP_LIMIT);
        for (SimulatedMember member : group.currentMembers()) {
            history.checkFinalState(member.id, member.machine().register());
        }
    }
}
