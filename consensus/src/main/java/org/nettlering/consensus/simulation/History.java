package org.nettlering.consensus.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.nettlering.consensus.MemberId;

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

    /** The first violation; empty if there is none. */
    private String violation = "";

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
    }

    /** Checks that a member has the final state of the model. */
    void checkFinalState(MemberId member, Register register) {
        Register last =
                log.isEmpty() ? Register.INITIAL : log.lastEntry().getValue().register();
        require(register.equals(last), member + " finished with " + register + " instead of " + last);
    }

    private record AppliedCommand(RegisterCommand command, Register register) {}
}
