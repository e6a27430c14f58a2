package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;

/**
 * Injects random faults into a simulated group.
 *
 * <p>Any fault may occur at any time, with one exception: a disk is wiped only while every voter has the disk that the
 * committed membership lists, because losing two of three disks at once loses the entries that only they stored. Not
 * thread-safe.
 */
final class FaultInjector {
    /** The mean number of steps between two faults. */
    private static final int STEPS_PER_FAULT = 12;

    private static final int MAX_PAUSE_MILLIS = 2_000;

    /** The size beyond which no member is added. */
    private static final int MAX_MEMBERS = 5;

    private final SimulatedGroup group;

    private final SplittableRandom random;

    /** The members with a wiped disk that the committed membership does not list yet. */
    private final Set<MemberId> unrepairedDisks = new HashSet<>();

    private long injectedFaults;

    /** True once {@link #stopAndRepair()} has ended the faults. */
    private boolean stopped;

    /** The number of the next member to add. */
    private int nextMemberNumber = MAX_MEMBERS;

    FaultInjector(SimulatedGroup group, SplittableRandom random) {
        this.group = group;
        this.random = random;
    }

    long injectedFaults() {
        return injectedFaults;
    }

    void step() {
        removeRepairedDisks();
        restartStoppedMembers();
        if (random.nextInt(STEPS_PER_FAULT) > 0) {
            return;
        }
        injectedFaults++;
        SimulatedMember member = randomMember();
        switch (random.nextInt(14)) {
            case 0 -> crashAndMaybeRestart(member);
            case 1 -> member.folder.failAfter(random.nextInt(12));
            case 2 -> member.pause(Duration.ofMillis(random.nextInt(MAX_PAUSE_MILLIS)));
            case 3 -> isolate(member);
            case 4 -> group.network().partition(member.id, randomMember().id);
            case 5, 6 -> group.network().heal();
            case 7 -> group.network().setFaultProbability(random.nextDouble() * 0.3);
            case 8 -> wipeDiskIfSafe(member);
            case 9 -> addMember();
            case 10 -> removeMember(member);
            case 11 -> isolateLeader();
            case 12 -> wipeDiskWhileAnotherMemberLags();
            default -> transferLeadership();
        }
        if (random.nextInt(40) == 0) {
            group.members().values().forEach(SimulatedMember::crash);
        } else if (random.nextInt(20) == 0) {
            group.members().values().forEach(this::crashAndMaybeRestart);
        }
    }

    private SimulatedMember randomMember() {
        List<SimulatedMember> all = List.copyOf(group.members().values());
        return all.get(random.nextInt(all.size()));
    }

    private void isolate(SimulatedMember member) {
        for (MemberId other : group.members().keySet()) {
            group.network().partition(member.id, other);
            if (random.nextInt(4) > 0) {
                group.network().partition(other, member.id);
            }
        }
    }

    /** Crashes a member; with probability one half it restarts at once, within the same term. */
    private void crashAndMaybeRestart(SimulatedMember member) {
        member.crash();
        if (random.nextBoolean()) {
            member.start();
        }
    }

    /** Isolates the leader, so that it appends entries that it cannot replicate. */
    private void isolateLeader() {
        for (SimulatedMember leader : group.leader().stream().toList()) {
            group.members().keySet().forEach(other -> group.network().partition(leader.id, other));
        }
    }

    /**
     * Lets one member lag, wipes the disk of another and crashes the leader, the only member that has all entries.
     *
     * <p>The other members must not elect a leader without these entries.
     */
    private void wipeDiskWhileAnotherMemberLags() {
        Optional<SimulatedMember> leader = group.leader();
        if (leader.isEmpty()) {
            return;
        }
        List<SimulatedMember> others = group.members().values().stream()
                .filter(member -> !member.id.equals(leader.get().id))
                .toList();
        if (others.size() < 2) {
            return;
        }
        isolate(others.getFirst());
        group.time().schedule(Duration.ofMillis(500), () -> {
            if (!stopped) {
                wipeDiskIfSafe(others.get(1));
            }
            if (!stopped && others.get(1).node().isEmpty()) {
                leader.get().crash();
                group.network().heal();
                others.get(1).start();
            }
        });
    }

    private void restartStoppedMembers() {
        for (SimulatedMember member : group.members().values()) {
            if (member.node().isEmpty() && random.nextInt(25) == 0) {
                member.folder.crashMachine();
                member.start();
            }
        }
    }

    /** Removes the members whose new disk the committed membership lists, and those that it no longer contains. */
    private void removeRepairedDisks() {
        Optional<ConsensusStatus> status = group.leaderStatus().filter(ConsensusStatus::membershipCommitted);
        if (status.isEmpty() || unrepairedDisks.isEmpty()) {
            return;
        }
        unrepairedDisks.removeIf(id -> isRepaired(id, status.get().membership()));
    }

    private boolean isRepaired(MemberId id, Membership membership) {
        if (membership.find(id).isEmpty()) {
            return true;
        }
        Optional<ConsensusStatus> status = group.getOrCreateMember(id).node().flatMap(ConsensusNode::status);
        return status.isPresent() && membership.isVoter(id, status.get().diskId());
    }

    private void wipeDiskIfSafe(SimulatedMember member) {
        if (!unrepairedDisks.isEmpty() || group.leaderStatus().isEmpty()) {
            return;
        }
        boolean isStable = group.leaderStatus().get().membershipCommitted()
                && group.leaderStatus().get().membership().find(member.id).isPresent()
                && group.leaderStatus().get().membership().members().stream().allMatch(Member::voting);
        if (!isStable) {
            return;
        }
        unrepairedDisks.add(member.id);
        member.crash();
        member.folder.wipe();
    }

    private void addMember() {
        Optional<ConsensusStatus> status = group.leaderStatus();
        if (status.isEmpty() || status.get().membership().members().size() >= MAX_MEMBERS) {
            return;
        }
        MemberId id = SimulatedGroup.idOf(nextMemberNumber++);
        group.getOrCreateMember(id).start();
        sendToLeader(node -> node.addMember(SimulatedGroup.learnerOf(id)));
    }

    private void removeMember(SimulatedMember member) {
        if (group.leaderStatus().isPresent()
                && group.leaderStatus().get().membership().members().size() > 3) {
            sendToLeader(node -> node.removeMember(member.id));
        }
    }

    private void transferLeadership() {
        sendToLeader(node -> node.transferLeadership(Optional.empty()));
    }

    private void sendToLeader(Function<ConsensusNode, CompletableFuture<Void>> request) {
        Optional<CompletableFuture<Void>> _ =
                group.leader().flatMap(SimulatedMember::node).map(request);
    }

    /** Ends all faults and starts every stopped member. */
    void stopAndRepair() {
        stopped = true;
        group.network().heal();
        for (SimulatedMember member : group.members().values()) {
            member.resume();
            if (member.node().isEmpty()) {
                member.folder.crashMachine();
                member.start();
            }
            member.folder.failAfter(-1);
        }
    }
}
