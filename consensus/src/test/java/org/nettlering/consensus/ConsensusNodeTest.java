package org.nettlering.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusListener.Event;
import org.nettlering.consensus.ConsensusListener.MemberFailed;
import org.nettlering.consensus.simulation.SimulatedFolder;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.domain.time.ManualTime;

class ConsensusNodeTest {
    private static final MemberId SELF = MemberId.of("a");

    private static final List<Member> FOUNDERS =
            List.of(Member.learner(SELF, "a:1", "one"), Member.learner(MemberId.of("b"), "b:1", "two"));

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    private final List<Event> events = new ArrayList<>();

    private int sentMessages;

    private int failingMessages;

    @Test
    void aMessageThatCannotBeSentIsLostAndLaterOnesAreSent() {
        failingMessages = 1;
        start(FOUNDERS, events::add);
        time.advance(Duration.ofSeconds(1));
        assertThat(sentMessages).isGreaterThan(1);
        assertThat(events).noneMatch(MemberFailed.class::isInstance);
    }

    @Test
    void aMemberWhoseListenerFailsStopsVisibly() {
        start(List.of(FOUNDERS.getFirst()), event -> {
            events.add(event);
            if (events.size() == 1) {
                throw new IllegalStateException("the listener fails");
            }
        });
        time.advance(Duration.ofSeconds(5));
        assertThat(events).anyMatch(MemberFailed.class::isInstance);
    }

    private void start(List<Member> founders, ConsensusListener listener) {
        ConsensusNode.create(
                        SELF,
                        founders,
                        ConsensusSettings.DEFAULT,
                        new ConsensusPorts(
                                time,
                                FileLogStorage.open(new SimulatedFolder(new SplittableRandom(1)), SELF),
                                (to, message) -> send(),
                                new EmptyStateMachine(),
                                listener,
                                new ConsensusExecutors(Runnable::run, Runnable::run, Runnable::run),
                                new SplittableRandom(1)))
                .start();
    }

    private void send() {
        sentMessages++;
        if (sentMessages <= failingMessages) {
            throw new IllegalStateException("the message cannot be sent");
        }
    }

    private static final class EmptyStateMachine implements ReplicatedStateMachine {
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
}
