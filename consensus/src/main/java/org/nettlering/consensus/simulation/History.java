package org.nettlering.consensus.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;

/**
 * Checks the history of a run for linearizability against a sequential model, {@link Register}.
 *
 * <p>Commands take effect in log order. A run is linearizable if
 *
 * <ul>
 *   <li>every response equals that of the model when it applies the commands in log order, and
 *   <li>log order is consistent with the real-time order of the requests.
 * </ul>
 *
 * <p>Only the first violation is retained. Not thread-safe.
 */
final class History {
    /** The applied commands by log index, with the state of the model after each. */
    private final TreeMap<Long, AppliedCommand> log = new TreeMap<>();

    private final Set<Long> appliedIds = new HashSet<>();

    /** The log index of each command by command id. */
    private final Map<Long, Long> indexById = new HashMap<>();

    /** The leader of each term. */
    private final Map<Long, MemberId> leadersByTerm = new HashMap<>();

    /** The ids of rejected commands, which must never be applied. */
    private final Set<Long> rejectedIds = new HashSet<>();

    /** The highest log index that a response to a client reflects. */
    private long acknowledgedIndex;

    private long acknowledgedCommands;

    private long completedReads;

    /** The disks that some membership lists as voting, by member. */
    private final Map<MemberId, Set<Long>> votingDisks = new HashMap<>();

    /** Told of each acknowledgement at the moment at which it is given. */
    private Consumer<Acknowledgement> acknowledgementListener = acknowledgement -> {};

    /** The first violation; empty if there is none. */
    private String violation = "";

    /** What a group may acknowledge, to a client, to an operator or within itself. */
    enum Acknowledgement {
        /** A command. */
        COMMAND,
        /** A read, of what was acknowledged before. */
        READ,
        /** A change of the membership that an operator asked for. */
        MEMBERSHIP_CHANGE,
        /** A membership that took effect on a member, among them those that take a vote or give it back. */
        MEMBERSHIP_IN_EFFECT,
        /** A snapshot that a member saved. */
        SNAPSHOT,
        /** A snapshot that a member took over from the leader. */
        SNAPSHOT_INSTALLED,
        /** A leadership that a member won. */
        LEADERSHIP
    }

    /** Lets a listener know of each acknowledgement from now on. */
    void onAcknowledgement(Consumer<Acknowledgement> listener) {
        acknowledgementListener = listener;
    }

    void acknowledge(Acknowledgement acknowledgement) {
        acknowledgementListener.accept(acknowledgement);
    }

    /** Notes the disks with which members vote; a membership takes effect before any vote by it is asked for. */
    void recordMembership(Membership membership) {
        for (Member voter : membership.voters()) {
            votingDisks.computeIfAbsent(voter.id(), id -> new HashSet<>()).add(voter.diskId());
        }
    }

    /** Checks that a member that grants a vote does so with a disk that a membership has given a vote. */
    void recordGrantedVote(MemberId member, long diskId) {
        require(
                votingDisks.getOrDefault(member, Set.of()).contains(diskId),
                member + " voted with a disk that has no vote");
    }

    void require(boolean condition, String message) {
        if (!condition && violation.isEmpty()) {
            violation = message;
        }
    }

    String violation() {
        return violation;
    }

    long acknowledgedIndex() {
        return acknowledgedIndex;
    }

    long acknowledgedCommands() {
        return acknowledgedCommands;
    }

    long completedReads() {
        return completedReads;
    }

    void recordLeader(MemberId member, long term) {
        MemberId other = leadersByTerm.putIfAbsent(term, member);
        require(
                other == null || other.equals(member),
                "term " + term + " has two leaders, " + other + " and " + member);
        acknowledge(Acknowledgement.LEADERSHIP);
    }

    /** Checks a command that a member applied; the first member to apply an index determines its command for all. */
    void recordApplied(MemberId member, long index, byte[] command, Register result) {
        AppliedCommand recorded = log.get(index);
        if (recorded == null) {
            recorded = append(index, command);
        }
        require(
                recorded.command().equals(RegisterCommand.decode(command)),
                member + " applied a different command than the other members at entry " + index);
        require(recorded.register().equals(result), member + " diverged from the model at entry " + index);
    }

    private AppliedCommand append(long index, byte[] command) {
        RegisterCommand decoded = RegisterCommand.decode(command);
        require(log.isEmpty() || log.lastKey() < index, "entry " + index + " was applied out of order");
        require(appliedIds.add(decoded.id()), "command " + decoded.id() + " was applied twice");
        require(
                !rejectedIds.contains(decoded.id()),
                "command " + decoded.id() + " was applied after it had been rejected");
        indexById.put(decoded.id(), index);
        AppliedCommand applied =
                new AppliedCommand(decoded, registerAt(index - 1).apply(decoded));
        log.put(index, applied);
        return applied;
    }

    private Register registerAt(long index) {
        Map.Entry<Long, AppliedCommand> last = log.floorEntry(index);
        return last == null ? Register.INITIAL : last.getValue().register();
    }

    void recordRestored(MemberId member, long index, Register register) {
        require(
                register.equals(registerAt(index)),
                member + " restored a snapshot that differs from the model at entry " + index);
    }

    /**
     * Checks the response to an acknowledged command.
     *
     * @param acknowledgedIndexAtStart the acknowledged index at the time of the proposal
     */
    void recordAcknowledged(RegisterCommand command, Register response, long acknowledgedIndexAtStart) {
        Long index = indexById.get(command.id());
        if (index == null) {
            require(false, "command " + command.id() + " was acknowledged but never applied");
            return;
        }
        require(index > acknowledgedIndexAtStart, "command " + command.id() + " took effect before it was proposed");
        AppliedCommand applied = log.get(index);
        require(
                applied != null && applied.register().equals(response),
                "command " + command.id() + " got a response that differs from the model");
        acknowledgedIndex = Math.max(acknowledgedIndex, index);
        acknowledgedCommands++;
        acknowledge(Acknowledgement.COMMAND);
    }

    void recordRejected(RegisterCommand command) {
        rejectedIds.add(command.id());
        require(
                !appliedIds.contains(command.id()),
                "command " + command.id() + " was rejected after it had been applied");
    }

    /**
     * Checks the response to a read.
     *
     * @param appliedIndex the last applied index of the member that was read
     * @param acknowledgedIndexAtStart the acknowledged index at the start of the read
     */
    void recordRead(Register response, long appliedIndex, long acknowledgedIndexAtStart) {
        require(appliedIndex >= acknowledgedIndexAtStart, "a read does not reflect entry " + acknowledgedIndexAtStart);
        require(response.equals(registerAt(appliedIndex)), "a read differs from the model");
        acknowledgedIndex = Math.max(acknowledgedIndex, appliedIndex);
        completedReads++;
        acknowledge(Acknowledgement.READ);
    }

    /** Checks that a member has the final state of the model. */
    void checkFinalState(MemberId member, Register register) {
        Register last =
                log.isEmpty() ? Register.INITIAL : log.lastEntry().getValue().register();
        require(register.equals(last), member + " finished with " + register + " instead of " + last);
    }

    private record AppliedCommand(RegisterCommand command, Register register) {}
}
