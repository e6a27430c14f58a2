package org.nettlering.consensus.simulation;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Clients that send concurrent compare-and-set commands and reads to the leader or a random member. Not thread-safe. */
final class SimulatedClients {
    /** The exclusive upper limit of the requests in one step. */
    private static final int REQUESTS_PER_STEP_BOUND = 4;

    private final SimulatedGroup group;

    private final SplittableRandom random;

    private long nextId = 1;

    /** The highest revision in a response so far. */
    private long latestKnownRevision;

    SimulatedClients(SimulatedGroup group, SplittableRandom random) {
        this.group = group;
        this.random = random;
    }

    void step() {
        int requests = random.nextInt(REQUESTS_PER_STEP_BOUND);
        for (int request = 0; request < requests; request++) {
            Optional<SimulatedMember> member = chooseMember();
            if (member.isPresent() && random.nextInt(3) == 0) {
                read(member.get());
            } else if (member.isPresent()) {
                propose(member.get());
            }
        }
    }

    private Optional<SimulatedMember> chooseMember() {
        if (random.nextInt(4) > 0) {
            return group.leader();
        }
        List<SimulatedMember> all = List.copyOf(group.members().values());
        return Optional.of(all.get(random.nextInt(all.size())));
    }

    private void propose(SimulatedMember member) {
        Optional<ConsensusNode> node = member.node();
        if (node.isEmpty()) {
            return;
        }
        RegisterCommand command = new RegisterCommand(nextId++, latestKnownRevision);
        History history = group.history();
        long acknowledgedIndexAtStart = history.acknowledgedIndex();
        CompletableFuture<byte[]> _ = node.get().propose(command.encode()).whenComplete((result, failure) -> {
            if (failure == null) {
                Register response = Register.decode(result);
                latestKnownRevision = Math.max(latestKnownRevision, response.revision());
                history.recordAcknowledged(command, response, acknowledgedIndexAtStart);
                return;
            }
            if (!isOutcomeUnknown(failure)) {
                history.recordRejected(command);
            }
        });
    }

    private static boolean isOutcomeUnknown(Throwable failure) {
        return failure instanceof NettleringException known && known.code() == ErrorCode.OUTCOME_UNKNOWN;
    }

    private void read(SimulatedMember member) {
        Optional<ConsensusNode> node = member.node();
        if (node.isEmpty()) {
            return;
        }
        History history = group.history();
        long acknowledgedIndexAtStart = history.acknowledgedIndex();
        RegisterStateMachine machine = member.machine();
        CompletableFuture<Void> _ = node.get()
                .readIndex()
                .thenRun(
                        () -> history.recordRead(machine.register(), machine.appliedIndex(), acknowledgedIndexAtStart));
    }
}
