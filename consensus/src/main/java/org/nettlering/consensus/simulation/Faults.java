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

    /** The group. */
    private final SimulatedGroup group;

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

    Faults(SimulatedGroup group, SplittableRandom random) {
        this.group = group;
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
            case 4 -> group.network().cut(member.id, anyMember().id);
            case 5, 6 -> group.network().heal();
            case 7 -> group.network().setFaultShare(random.nextDouble() * 0.3);
            case 8 -> wipe(member);
            case 9 -> addMember();
            case 10 -> removeMember(member);
            case 11 -> cutLeaderOff();
            case 12 -> loseDiskBesideALaggingMember();
            default -> transfer();
        }
        if (random.nextInt(40) == 0) {
            group.members().values().forEach(SimulatedMember::crash);
        } else if (random.nextInt(20) == 0) {
            group.members().values().forEach(this::crashWithoutPause);
        }
    }

    private SimulatedMember anyMember() {
        List<SimulatedMember> all = List.copyOf(group.members().values());
        return all.get(random.nextInt(all.size()));
    }

    private void isolate(SimulatedMember member) {
        for (MemberId other : group.members().keySet()) {
            group.network().cut(member.id, other);
            if (random.nextInt(4) > 0) {
                group.network().cut(other, member.id);
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
        for (SimulatedMember leader : group.leader().stream().toList()) {
            group.members().keySet().forEach(other -> group.network().cut(leader.id, other));
        }
    }

    /** Lets a member lag, then loses the disk of another one and ends the leader, which alone holds everything. */
    private void loseDiskBesideALaggingMember() {
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
            if (!healed) {
                wipe(others.get(1));
            }
            if (!healed && others.get(1).node().isEmpty()) {
                leader.get().crash();
                group.network().heal();
                others.get(1).start();
            }
        });
    }

    private void restartSome() {
        for (SimulatedMember member : group.members().values()) {
            if (member.node().isEmpty() && random.nextInt(25) == 0) {
                member.folder.crash();
                member.start();
            }
        }
    }

    /** Forgets the lost disks in whose place the committed membership lists the new one, or nothing. */
    private void noteRepairs() {
        Optional<ConsensusStatus> status = group.leading().filter(ConsensusStatus::membershipCommitted);
        if (status.isEmpty() || lostDisks.isEmpty()) {
            return;
        }
        lostDisks.removeIf(id -> isRepaired(id, status.get().membership()));
    }

    private boolean isRepaired(MemberId id, Membership membership) {
        if (membership.find(id).isEmpty()) {
            return true;
        }
        Optional<ConsensusStatus> status = group.process(id).node().flatMap(ConsensusNode::status);
        return status.isPresent() && membership.isVoter(id, status.get().diskId());
    }

    private void wipe(SimulatedMember member) {
        if (!lostDisks.isEmpty() || group.leading().isEmpty()) {
            return;
        }
        boolean quiet = group.leading().get().membershipCommitted()
                && group.leading().get().membership().find(member.id).isPresent()
                && group.leading().get().membership().members().stream().allMatch(Member::voting);
        if (!quiet) {
            return;
        }
        lostDisks.add(member.id);
        member.crash();
        member.folder.wipe();
    }

    private void addMember() {
        Optional<ConsensusStatus> status = group.leading();
        if (status.isEmpty() || status.get().membership().members().size() >= MAX_MEMBERS) {
            return;
        }
        MemberId id = SimulatedGroup.idOf(nextMemberNumber++);
        group.process(id).start();
        ask(node -> node.addMember(SimulatedGroup.describe(id)));
    }

    private void removeMember(SimulatedMember member) {
        if (group.leading().isPresent()
                && group.leading().get().membership().members().size() > 3) {
            ask(node -> node.removeMember(member.id));
        }
    }

    private void transfer() {
        ask(node -> node.transferLeadership(Optional.empty()));
    }

    private void ask(Function<ConsensusNode, CompletableFuture<Void>> request) {
        Optional<CompletableFuture<Void>> _ =
                group.leader().flatMap(SimulatedMember::node).map(request);
    }

    /** Ends every fault and starts every member. */
    void heal() {
        healed = true;
        group.network().heal();
        for (SimulatedMember member : group.members().values()) {
            member.unfreeze();
            if (member.node().isEmpty()) {
                member.folder.crash();
                member.start();
            }
            member.folder.failAfter(-1);
        }
    }
}
