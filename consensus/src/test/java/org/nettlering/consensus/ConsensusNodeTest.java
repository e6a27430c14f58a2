package org.nettlering.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusListener.MemberFailed;
import org.nettlering.consensus.simulation.SimulatedFolder;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;

/** A member in whose ports something fails: it either goes on or stops and says so, but never goes on with a part of it dead. */
class ConsensusNodeTest {
    private static final MemberId SELF = MemberId.of("a");
    private static final MemberId OTHER = MemberId.of("b");
    private static final Duration ENOUGH_FOR_AN_ELECTION = Duration.ofSeconds(5);
    private static final ConsensusSettings SETTINGS =
            ConsensusSettings.DEFAULT.withSnapshotLimits(1_000, 0, 256 * 1024);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<ConsensusListener.Event> events = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(1);

    /** Thrown by the ports that the test has armed; null while everything works. */
    private @Nullable Throwable diskFailure;

    private @Nullable Throwable applyFailure;
    private @Nullable Throwable encodeFailure;
    private @Nullable Throwable sendFailure;
    private @Nullable Throwable timerFailure;
    private @Nullable Throwable listenerFailure;
    private int sentMessages;

    private final ConsensusNode node = ConsensusNode.create(
            SELF,
            List.of(Member.learner(SELF, "127.0.0.1:1", "one")),
            SETTINGS,
            new ConsensusPorts(
                    time,
                    new FailingStorage(FileLogStorage.open(new SimulatedFolder(new SplittableRandom(1)), SELF)),
                    (to, message) -> {
                        sentMessages++;
                        throwIfArmed(sendFailure);
                    },
                    new EchoStateMachine(),
                    event -> {
                        events.add(event);
                        throwIfArmed(listenerFailure);
                    },
                    new ConsensusExecutors(this::execute, this::execute, this::execute),
                    (RandomGenerator) () -> {
                        throwIfArmed(timerFailure);
                        return random.nextLong();
                    }));

    /** Runs a task as a thread of an executor does: what it throws ends the task and reaches nobody. */
    private void execute(Runnable task) {
        time.schedule(Duration.ZERO, () -> ignoringFailures(task));
    }

    private static void ignoringFailures(Runnable task) {
        try {
            task.run();
        } catch (Throwable ignored) {
            // As in a thread of an executor or a timer.
        }
    }

    private static void throwIfArmed(@Nullable Throwable failure) {
        if (failure instanceof Error error) {
            throw error;
        }
        if (failure instanceof RuntimeException exception) {
            throw exception;
        }
    }

    private void advance(Duration duration) {
        ignoringFailures(() -> time.advance(duration));
    }

    private void lead() {
        node.start();
        advance(ENOUGH_FOR_AN_ELECTION);
        assertThat(node.isReadyLeader()).isTrue();
    }

    private CompletableFuture<byte[]> propose() {
        CompletableFuture<byte[]> future = node.propose(new byte[400]);
        advance(Duration.ofMillis(500));
        return future;
    }

    private void assertStoppedBy(Throwable failure) {
        assertThat(events).contains(new MemberFailed(failure));
        assertThat(node.isReadyLeader()).isFalse();
        assertThat(node.propose(new byte[0])).isCompletedExceptionally();
    }

    private static ErrorCode codeOf(CompletableFuture<?> future) {
        assertThat(future).isCompletedExceptionally();
        return ((NettleringException) future.exceptionNow()).code();
    }

    @Test
    void anErrorWhileWritingToTheDiskStopsTheMember() {
        lead();
        diskFailure = new OutOfMemoryError("Cannot reserve direct buffer memory");

        CompletableFuture<byte[]> proposal = propose();

        assertStoppedBy(diskFailure);
        assertThat(codeOf(proposal)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void anErrorWhileApplyingACommandStopsTheMember() {
        lead();
        applyFailure = new StackOverflowError();

        CompletableFuture<byte[]> proposal = propose();

        assertStoppedBy(applyFailure);
        assertThat(codeOf(proposal)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
    }

    @Test
    void aCommandThatNoMemberCanApplyFailsAloneAndTheMemberGoesOn() {
        lead();
        applyFailure = new NettleringException(ErrorCode.INTERNAL, "log entry 3 could not be applied");

        CompletableFuture<byte[]> failing = propose();
        applyFailure = null;

        assertThat(codeOf(failing)).isEqualTo(ErrorCode.INTERNAL);
        assertThat(propose()).isCompletedWithValueMatching(result -> result.length == 400);
        assertThat(node.isReadyLeader()).isTrue();
        assertThat(events).anyMatch(ConsensusListener.CommandFailed.class::isInstance);
    }

    @Test
    void anErrorWhileEncodingASnapshotStopsTheMember() {
        lead();
        encodeFailure = new OutOfMemoryError("Java heap space");

        for (int proposal = 0; proposal < 4; proposal++) {
            assertThat(propose()).isDone();
        }

        assertStoppedBy(encodeFailure);
    }

    @Test
    void anErrorInATimerStopsTheMemberInsteadOfEndingItsHeartbeats() {
        lead();
        timerFailure = new StackOverflowError();
        CompletableFuture<Void> added = node.addMember(Member.learner(OTHER, "127.0.0.1:2", "two"));
        advance(Duration.ofMillis(500));
        assertThat(added).isCompleted();

        ConsensusMessage higherTerm = new ConsensusMessage.AppendResponse(node.term() + 1, 7L, false, 0L, 0L, 0L);
        ignoringFailures(() -> node.receive(OTHER, higherTerm));

        assertStoppedBy(timerFailure);
    }

    @Test
    void aRequestWhoseStepFailsIsAnswered() {
        lead();
        diskFailure = new StackOverflowError();
        CompletableFuture<byte[]> proposal = propose();

        assertThat(codeOf(proposal)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(codeOf(node.readIndex())).isEqualTo(ErrorCode.STOPPING);
    }

    @Test
    void aMessageThatCannotBeSentIsLostAndNothingElse() {
        lead();
        sendFailure = new IllegalArgumentException("For input string: \"\"");
        CompletableFuture<Void> added = node.addMember(Member.learner(OTHER, "127.0.0.1:2", "two"));
        advance(Duration.ofMillis(500));
        int sentBefore = sentMessages;

        CompletableFuture<byte[]> proposal = propose();

        assertThat(added).isCompleted();
        assertThat(proposal).isCompleted();
        assertThat(sentMessages).isGreaterThan(sentBefore);
        assertThat(node.isReadyLeader()).isTrue();
        assertThat(events).contains(new ConsensusListener.EffectFailed(sendFailure));
    }

    @Test
    void anErrorWhileAMessageIsSentStopsTheMember() {
        lead();
        sendFailure = new OutOfMemoryError("Cannot reserve direct buffer memory");

        CompletableFuture<Void> _ = node.addMember(Member.learner(OTHER, "127.0.0.1:2", "two"));
        advance(Duration.ofMillis(500));

        assertStoppedBy(sendFailure);
    }

    @Test
    void aListenerThatFailsHoldsNothingUp() {
        lead();
        listenerFailure = new IllegalStateException("the log is closed");

        CompletableFuture<Void> added = node.addMember(Member.learner(OTHER, "127.0.0.1:2", "two"));
        advance(Duration.ofMillis(500));

        assertThat(added).isCompleted();
        assertThat(propose()).isCompleted();
    }

    private final class EchoStateMachine implements ReplicatedStateMachine {
        @Override
        public byte[] apply(long index, byte[] command) {
            throwIfArmed(applyFailure);
            return command;
        }

        @Override
        public CapturedState capture() {
            return () -> {
                throwIfArmed(encodeFailure);
                return new byte[0];
            };
        }

        @Override
        public void restore(byte[] encodedState) {}
    }

    /** A storage whose writes fail as the test says. */
    private final class FailingStorage implements LogStorage {
        private final LogStorage storage;

        FailingStorage(LogStorage storage) {
            this.storage = storage;
        }

        @Override
        public StoredState load() {
            return storage.load();
        }

        @Override
        public long diskId() {
            return storage.diskId();
        }

        @Override
        public void saveVote(long term, Optional<MemberId> votedFor) {
            storage.saveVote(term, votedFor);
        }

        @Override
        public void append(List<LogEntry> entries) {
            storage.append(entries);
        }

        @Override
        public void truncateFrom(long index) {
            storage.truncateFrom(index);
        }

        @Override
        public void sync() {
            throwIfArmed(diskFailure);
            storage.sync();
        }

        @Override
        public void installSnapshot(SnapshotHeader header, Payload state, boolean retainLog) {
            storage.installSnapshot(header, state, retainLog);
        }

        @Override
        public void saveSnapshot(SnapshotHeader header, Payload state) {
            storage.saveSnapshot(header, state);
        }

        @Override
        public void discardUpTo(long index) {
            storage.discardUpTo(index);
        }

        @Override
        public Optional<StoredSnapshot> loadSnapshot() {
            return storage.loadSnapshot();
        }

        @Override
        public void close() {
            storage.close();
        }
    }
}
