package org.nettlering.consensus.simulation;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.nettlering.consensus.MemberId;

/**
 * What happened in a run, checked against one naive register.
 *
 * <p>The order of the log is the order in which the commands took effect. So the run is linearizable if every answer is
 * that of the naive register in this order, and if the order agrees with real time. Not thread-safe.
 */
final class History {
    /** The commands in the order of the log, with the register after each. */
    private final TreeMap<Long, AppliedCommand> log = new TreeMap<>();

    /** The ids of the commands in the log. */
    private final Set<Long> appliedIds = new HashSet<>();

    /** Where each command stands in the log. */
    private final Map<Long, Long> indexById = new HashMap<>();

    /** Who led each term. */
    private final Map<Long, MemberId> leadersByTerm = new HashMap<>();

    /** The ids of the commands that certainly were not appended. */
    private final Set<Long> rejectedIds = new HashSet<>();

    /** The highest index that anybody was told of. */
    private long acknowledgedIndex;

    /** How many commands were acknowledged. */
    private long acknowledgedCommands;

    /** How many reads were answered. */
    private long completedReads;

    /** The first violation, empty if there is none. */
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
        require(other == null || other.equals(member), "term " + term + " was led by " + other + " and " + member);
    }

    /** Checks a step of a member; the first member to reach an index sets the command that the others must have there. */
    void recordApplied(MemberId member, long index, byte[] command, Register result) {
        AppliedCommand recorded = log.get(index);
        if (recorded == null) {
            recorded = append(index, command);
        }
        require(
                recorded.command().equals(RegisterCommand.decode(command)),
                member + " applied another command than the other members at entry " + index);
        require(recorded.register().equals(result), member + " diverged from the single copy at entry " + index);
    }

    private AppliedCommand append(long index, byte[] command) {
        RegisterCommand decoded = RegisterCommand.decode(command);
        require(log.isEmpty() || log.lastKey() < index, "entry " + index + " was applied out of order");
        require(appliedIds.add(decoded.id()), "command " + decoded.id() + " was applied twice");
        require(!rejectedIds.contains(decoded.id()), "command " + decoded.id() + " was refused and applied");
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
                member + " restored a snapshot that differs from the single copy at entry " + index);
    }

    /** Checks the answer to a command that was proposed when {@code acknowledgedBefore} had been acknowledged. */
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
                "command " + command.id() + " was answered differently from the single copy");
        acknowledgedIndex = Math.max(acknowledgedIndex, index);
        acknowledgedCommands++;
    }

    void recordRejected(RegisterCommand command) {
        rejectedIds.add(command.id());
        require(!appliedIds.contains(command.id()), "command " + command.id() + " was applied and refused");
    }

    /** Checks a read of the state after {@code appliedIndex}. */
    void recordRead(Register response, long appliedIndex, long acknowledgedIndexAtStart) {
        require(appliedIndex >= acknowledgedIndexAtStart, "a read missed entry " + acknowledgedIndexAtStart);
        require(response.equals(registerAt(appliedIndex)), "a read differs from the single copy");
        acknowledgedIndex = Math.max(acknowledgedIndex, appliedIndex);
        completedReads++;
    }

    /** Checks the state of a member at the end of a run. */
    void checkFinalState(MemberId member, Register register) {
        Register last =
                log.isEmpty() ? Register.INITIAL : log.lastEntry().getValue().register();
        require(register.equals(last), member + " ended with " + register + " in place of " + last);
    }

    private record AppliedCommand(RegisterCommand command, Register register) {}
}
