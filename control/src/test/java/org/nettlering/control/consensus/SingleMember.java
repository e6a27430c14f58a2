package org.nettlering.control.consensus;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.SplittableRandom;
import org.nettlering.consensus.ConsensusExecutors;
import org.nettlering.consensus.ConsensusListener;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusPorts;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.ReplicatedStateMachine;
import org.nettlering.consensus.simulation.SimulatedFolder;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.domain.time.ManualTime;

/** A group of one member whose state machine answers with the command itself. */
final class SingleMember implements ReplicatedStateMachine {
    static final MemberId SELF = MemberId.of("control-1");

    final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    final SimulatedFolder folder = new SimulatedFolder(new SplittableRandom(1));
    final ConsensusNode node;

    SingleMember(ConsensusListener listener) {
        this(listener, List.of(Member.learner(SELF, "127.0.0.1:1", "one")));
    }

    /** Starts a member of a group that the given members found, or that it has to join if there are none. */
    SingleMember(ConsensusListener listener, List<Member> founders) {
        ConsensusExecutors executors = new ConsensusExecutors(Runnable::run, Runnable::run, Runnable::run);
        node = ConsensusNode.create(
                SELF,
                founders,
                ConsensusSettings.DEFAULT,
                new ConsensusPorts(
                        time,
                        FileLogStorage.open(folder, SELF),
                        (to, message) -> {},
                        this,
                        listener,
                        executors,
                        new SplittableRandom(1)));
        node.start();
    }

    void lead() {
        time.advance(Duration.ofSeconds(5));
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return command;
    }

    @Override
    public CapturedState capture() {
        return () -> new byte[0];
    }

    @Override
    public void restore(byte[] encodedState) {}
}
