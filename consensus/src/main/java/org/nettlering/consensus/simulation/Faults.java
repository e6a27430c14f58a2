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
 * Strikes a run with faults.
 *
 * <p>Anything may happen at any moment, apart from one rule: a disk is lost only when every voter holds the disk that the
 * committed membership lists. Losing two of three disks at once loses what only they held. Not thread-safe.
 */
final class Faults {
    /** One step in so many brings a fault. */
    private static final int STEPS_PER_FAULT = 12;

    /** The longest time that a member stands still. */
    private static final int MAX_FREEZE_MILLIS = 2_000;

    /** The most members that a group grows to. */
    private static final int MAX_MEMBERS = 5;

    /** The run. */
    private final Simulation simulation;

    /** Draws the faults. */
    private final SplittableRandom random;

    /** The members whose loss of a disk is not repaired. */
    private final Set<MemberId> lostDisks = new HashSet<>();

    /** How many faults have struck. */
    private long count;

    /** True once faults no longer strike. */
    private boolean healed;

    /** The number of the next member that is added. */
    private int nextMemberNumber = MAX_MEMBERS;

    Faults(Simulation simulation, SplittableRandom random) {
        this.simulation = simulation;
        this.random = random;
    }

    long count() {
        return count;
    }

    void step() {
        noteRepairs();
        restartSome();
        if (random.nextInt(STEPS_PER_FAULT) > 0) {
            return;
        }
        count++;
        SimulatedMember member = anyMember();
        switch (random.nextInt(14)) {
            case 0 -> crashWithoutPause(member);
            case 1 -> member.folder.failAfter(random.nextInt(12));
            case 2 -> member.freeze(Duration.ofMillis(random.nextInt(MAX_FREEZE_MILLIS)));
            case 3 -> isolate(member);
            case 4 -> simulation.network().cut(member.id, anyMember().id);
            case 5, 6 -> simulation.network().heal();
            case 7 -> simulation.network().setFaultShare(random.nextDouble() * 0.3);
            case 8 -> wipe(member);
            case 9 -> addMember();
            case 10 -> removeMember(member);
            case 11 -> cutLeaderOff();
            case 12 -> loseDiskBesideALaggingMember();
            default -> transfer();
        }
        if (random.nextInt(40) == 0) {
            simulation.members().values().forEach(SimulatedMember::crash);
        } else if (random.nextInt(20) == 0) {
            simulation.members().values().forEach(this::crashWithoutPause);
        }
    }

    private SimulatedMember anyMember() {
        List<SimulatedMember> all = List.copyOf(simulation.members().values());
        return all.get(random.nextInt(all.size()));
    }

    private void isolate(SimulatedMember member) {
        for (MemberId other : simulation.members().keySet()) {
            simulation.network().cut(member.id, other);
            if (random.nextInt(4) > 0) {
                simulation.network().cut(other, member.id);
            }
        }
    }

    /** Ends a process; half of the time it starts again at once, within the same term. */
    private void crashWithoutPause(SimulatedMember member) {
        member.crash();
        if (random.nextBoolean()) {
            member.start();
        }
    }

    /** Lets the leader append what no other member gets. */
    private void cutLeaderOff() {
        for (SimulatedMember leader : simulation.leader().stream().toList()) {
            simulation.members().keySet().forEach(other -> simulation.network().cut(leader.id, other));
        }
    }

    /** Lets a member lag, then loses the disk of another one and ends the leader, which alone holds everything. */
    private void loseDiskBesideALaggingMember() {
        Optional<SimulatedMember> leader = simulation.leader();
        if (leader.isEmpty()) {
            return;
        }
        List<SimulatedMember> others = simulation.members().values().stream()
                .filter(member -> !member.id.equals(leader.get().id))
                .toList();
        if (others.size() < 2) {
            return;
        }
        isolate(others.getFirst());
        simulation.time().schedule(Duration.ofMillis(500), () -> {
            if (!healed) {
                wipe(others.get(1));
            }
            if (!healed && others.get(1).node().isEmpty()) {
                leader.get().crash();
                simulation.network().heal();
                others.get(1).start();
            }
        });
    }

    private void restartSome() {
        for (SimulatedMember member : simulation.members().values()) {
            if (member.node().isEmpty() && random.nextInt(25) == 0) {
                member.folder.crash();
                member.start();
            }
        }
    }

    private Optional<ConsensusStatus> leading() {
        return simulation.leader().flatMap(SimulatedMember::node).flatMap(ConsensusNode::status);
    }

    /** Forgets the lost disks in whose place the committed membership lists the new one, or nothing. */
    private void noteRepairs() {
        Optional<ConsensusStatus> status = leading().filter(ConsensusStatus::membershipCommitted);
        if (status.isEmpty() || lostDisks.isEmpty()) {
            return;
        }
        lostDisks.removeIf(id -> isRepaired(id, status.get().membership()));
    }

    private boolean isRepaired(MemberId id, Membership membership) {
        if (membership.find(id).isEmpty()) {
            return true;
        }
        Optional<ConsensusStatus> status = simulation.addProcess(id).node().flatMap(ConsensusNode::status);
        return status.isPresent() && membership.isVoter(id, status.get().diskId());
    }

    private void wipe(SimulatedMember member) {
        if (!lostDisks.isEmpty() || leading().isEmpty()) {
            return;
        }
        boolean quiet = leading().get().membershipCommitted()
                && leading().get().membership().find(member.id).isPresent()
                && leading().get().membership().members().stream().allMatch(Member::voting);
        if (!quiet) {
            return;
        }
        lostDisks.add(member.id);
        member.crash();
        member.folder.wipe();
    }

    private void addMember() {
        Optional<ConsensusStatus> status = leading();
        if (status.isEmpty() || status.get().membership().members().size() >= MAX_MEMBERS) {
            return;
        }
        MemberId id = Simulation.idOf(nextMemberNumber++);
        simulation.addProcess(id).start();
        ask(node -> node.addMember(Simulation.describe(id)));
    }

    private void removeMember(SimulatedMember member) {
        if (leading().isPresent() && leading().get().membership().members().size() > 3) {
            ask(node -> node.removeMember(member.id));
        }
    }

    private void transfer() {
        ask(node -> node.transferLeadership(Optional.empty()));
    }

    private void ask(Function<ConsensusNode, CompletableFuture<Void>> request) {
        Optional<CompletableFuture<Void>> _ =
                simulation.leader().flatMap(SimulatedMember::node).map(request);
    }

    /** Ends every fault and starts every member. */
    void heal() {
        healed = true;
        simulation.network().heal();
        for (SimulatedMember member : simulation.members().values()) {
            member.unfreeze();
            if (member.node().isEmpty()) {
                member.folder.crash();
                member.start();
            }
            member.folder.failAfter(-1);
        }
    }
}
