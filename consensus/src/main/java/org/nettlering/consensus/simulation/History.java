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
    private final TreeMap<Long, Applied> log = new TreeMap<>();

    /** The ids of the commands in the log. */
    private final Set<Long> appliedIds = new HashSet<>();

    /** Where each command stands in the log. */
    private final Map<Long, Long> indexById = new HashMap<>();

    /** Who led each term. */
    private final Map<Long, MemberId> leaders = new HashMap<>();

    /** The ids of the commands that certainly were not appended. */
    private final Set<Long> refusedIds = new HashSet<>();

    /** The highest index that anybody was told of. */
    private long acknowledgedIndex;

    /** How many commands were acknowledged. */
    private long acknowledgedCommands;

    /** How many reads were answered. */
    private long answeredReads;

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

    long answeredReads() {
        return answeredReads;
    }

    void led(MemberId member, long term) {
        MemberId other = leaders.putIfAbsent(term, member);
        require(other == null || other.equals(member), "term " + term + " was led by " + other + " and " + member);
    }

    /** Checks a step of a member; the first member to reach an index sets the command that the others must have there. */
    void applied(MemberId member, long index, byte[] command, Register result) {
        Applied known = log.get(index);
        if (known == null) {
            known = append(index, command);
        }
        require(
                known.command().equals(RegisterCommand.decode(command)),
                member + " applied another command than the other members at entry " + index);
        require(known.register().equals(result), member + " diverged from the single copy at entry " + index);
    }

    private Applied append(long index, byte[] command) {
        RegisterCommand decoded = RegisterCommand.decode(command);
        require(log.isEmpty() || log.lastKey() < index, "entry " + index + " was applied out of order");
        require(appliedIds.add(decoded.id()), "command " + decoded.id() + " was applied twice");
        require(!refusedIds.contains(decoded.id()), "command " + decoded.id() + " was refused and applied");
        indexById.put(decoded.id(), index);
        Applied applied = new Applied(decoded, registerAt(index - 1).apply(decoded));
        log.put(index, applied);
        return applied;
    }

    private Register registerAt(long index) {
        Map.Entry<Long, Applied> last = log.floorEntry(index);
        return last == null ? Register.INITIAL : last.getValue().register();
    }

    void restored(MemberId member, long index, Register register) {
        require(
                register.equals(registerAt(index)),
                member + " restored a snapshot that differs from the single copy at entry " + index);
    }

    /** Checks the answer to a command that was proposed when {@code acknowledgedBefore} had been acknowledged. */
    void acknowledged(RegisterCommand command, Register answer, long acknowledgedBefore) {
        Long index = indexById.get(command.id());
        if (index == null) {
            require(false, "command " + command.id() + " was acknowledged but never applied");
            return;
        }
        require(index > acknowledgedBefore, "command " + command.id() + " took effect before it was proposed");
        Applied applied = log.get(index);
        require(
                applied != null && applied.register().equals(answer),
                "command " + command.id() + " was answered differently from the single copy");
        acknowledgedIndex = Math.max(acknowledgedIndex, index);
        acknowledgedCommands++;
    }

    void refused(RegisterCommand command) {
        refusedIds.add(command.id());
        require(!appliedIds.contains(command.id()), "command " + command.id() + " was applied and refused");
    }

    /** Checks a read of the state after {@code appliedIndex}. */
    void read(Register answer, long appliedIndex, long acknowledgedBefore) {
        require(appliedIndex >= acknowledgedBefore, "a read missed entry " + acknowledgedBefore);
        require(answer.equals(registerAt(appliedIndex)), "a read differs from the single copy");
        acknowledgedIndex = Math.max(acknowledgedIndex, appliedIndex);
        answeredReads++;
    }

    /** Checks the state of a member at the end of a run. */
    void finished(MemberId member, Register register) {
        Register last =
                log.isEmpty() ? Register.INITIAL : log.lastEntry().getValue().register();
        require(register.equals(last), member + " ended with " + register + " in place of " + last);
    }

    private record Applied(RegisterCommand command, Register register) {}
}
