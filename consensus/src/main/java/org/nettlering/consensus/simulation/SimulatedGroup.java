package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
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

/** A group of simulated members that share a clock, a network and a history. Not thread-safe. */
final class SimulatedGroup {
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    private final History history = new History();

    private final SimulatedNetwork network;

    /** All members, including those removed from the membership. */
    private final TreeMap<MemberId, SimulatedMember> members = new TreeMap<>();

    private final SimulatedMember.Environment environment;

    SimulatedGroup(SplittableRandom random, int size, ConsensusSettings settings) {
        network = new SimulatedNetwork(time, random.split(), this::deliver);
        List<Member> initialMembers = new ArrayList<>();
        for (int number = 0; number < size; number++) {
            initialMembers.add(learnerOf(idOf(number)));
        }
        environment = new SimulatedMember.Environment(time, random.split(), network, history, initialMembers, settings);
        initialMembers.forEach(member -> getOrCreateMember(member.id()));
    }

    static MemberId idOf(int number) {
        return MemberId.of("member-" + number);
    }

    static Member learnerOf(MemberId id) {
        return Member.learner(id, "127.0.0.1:1", "domain-" + id);
    }

    /** Returns the member with the given id, creating it with an empty disk if it does not exist. */
    SimulatedMember getOrCreateMember(MemberId id) {
        return members.computeIfAbsent(id, added -> new SimulatedMember(added, environment));
    }

    private void deliver(MemberId from, MemberId to, ConsensusMessage message) {
        SimulatedMember receiver = members.get(to);
        if (receiver != null) {
            receiver.receive(from, message);
        }
    }

    void startAll() {
        members.values().forEach(SimulatedMember::start);
    }

    void advance(Duration duration) {
        time.advance(duration);
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
        return Collections.unmodifiableSortedMap(members);
    }

    /** Returns the ready leader of the highest term, if there is one. */
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

    /** Returns the status of the leader, if there is one. */
    Optional<ConsensusStatus> leaderStatus() {
        return leader().flatMap(SimulatedMember::node).flatMap(ConsensusNode::status);
    }

    /** Returns the members in the leader's membership; empty if there is no leader. */
    List<SimulatedMember> currentMembers() {
        return leaderStatus().stream()
                .flatMap(status -> status.membership().members().stream())
                .map(member -> getOrCreateMember(member.id()))
                .toList();
    }

    /** Returns true if every current member is a voter with its current disk and has applied the whole log. */
    boolean hasConverged() {
        Optional<ConsensusStatus> leaderStatus = leaderStatus();
        if (leaderStatus.isEmpty()) {
            return false;
        }
        ConsensusStatus status = leaderStatus.get();
        boolean allMembersVote = status.membership().members().stream().allMatch(Member::voting);
        boolean allDisksCurrent = status.progress().stream().allMatch(ConsensusStatus.Progress::sameDisk);
        boolean allCaughtUp = currentMembers().stream()
                .map(member -> member.node().flatMap(ConsensusNode::status))
                .allMatch(other -> other.isPresent() && other.get().appliedIndex() == status.lastIndex());
        return allMembersVote && allDisksCurrent && allCaughtUp;
    }
}
