package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusExecutors;
import org.nettlering.consensus.ConsensusListener;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusPorts;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.storage.FileLogStorage;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.time.TimeSource;

/** A member of a simulated group: its disk and, while it runs, its process. Not thread-safe. */
final class SimulatedMember {
    /** The segment size, small enough that segments are deleted within a short run. */
    private static final int SEGMENT_BYTES = 1_500;

    /** The longest delay before an executor runs a task. */
    private static final int MAX_TASK_DELAY_MICROS = 4_000;

    final MemberId id;

    final SimulatedFolder folder;

    private final Environment environment;

    /** The running process; null while the member is stopped. */
    private @Nullable Incarnation incarnation;

    /** The time until which writes and syncs of the disk wait. */
    private long diskHangsUntilNanos;

    /** The time until which the process is paused. */
    private long pausedUntilNanos;

    SimulatedMember(MemberId id, Environment environment) {
        this.id = id;
        this.environment = environment;
        folder = new SimulatedFolder(environment.random());
    }

    /** The environment that the members of a run share. */
    record Environment(
            ManualTime time,
            RandomGenerator random,
            SimulatedNetwork network,
            History history,
            List<Member> initialMembers,
            ConsensusSettings settings) {}

    /** Starts the process; returns false if the disk fails during the start. */
    boolean start() {
        Incarnation started = new Incarnation();
        incarnation = started;
        try {
            started.node.start();
            return true;
        } catch (NettleringException e) {
            environment.history().require(isDiskFailure(e), id + ": " + e.getMessage());
            incarnation = null;
            return false;
        }
    }

    private static boolean isDiskFailure(Throwable failure) {
        return failure instanceof NettleringException known
                && (known.code() == ErrorCode.STORAGE_FAILED || known.code() == ErrorCode.STORAGE_FULL);
    }

    /** Returns a node on the disk of this member that is not started and receives no messages. */
    ConsensusNode createNode() {
        return new Incarnation().node;
    }

    /** Stops the process abruptly and loses the unsynced data of its disk. */
    void crash() {
        incarnation = null;
        folder.crashMachine();
    }

    /** Stops the process abruptly; its disk keeps everything that was written. */
    void kill() {
        incarnation = null;
        folder.crashProcess();
    }

    void pause(Duration duration) {
        pausedUntilNanos = environment.time().nanoTime() + duration.toNanos();
    }

    /** Lets everything that the disk is asked for from now on wait; the process goes on. */
    void hangDisk(Duration duration) {
        diskHangsUntilNanos = environment.time().nanoTime() + duration.toNanos();
    }

    void resume() {
        pausedUntilNanos = environment.time().nanoTime();
    }

    Optional<ConsensusNode> node() {
        return Optional.ofNullable(incarnation).map(running -> running.node);
    }

    RegisterStateMachine machine() {
        Incarnation running = incarnation;
        return running == null ? new RegisterStateMachine(id, environment.history()) : running.machine;
    }

    void receive(MemberId from, ConsensusMessage message) {
        Incarnation running = incarnation;
        if (running != null) {
            running.runWhenResumed(() -> running.node.receive(from, message));
        }
    }

    /** One incarnation of the process. Tasks that it scheduled have no effect after it has ended. */
    private final class Incarnation implements TimeSource {
        final RegisterStateMachine machine = new RegisterStateMachine(id, environment.history());

        final ConsensusNode node;

        Incarnation() {
            ConsensusPorts ports = new ConsensusPorts(
                    this,
                    FileLogStorage.open(folder, id, SEGMENT_BYTES),
                    this::send,
                    machine,
                    this::onEvent,
                    new ConsensusExecutors(
                            this::executeWhenDiskResponds,
                            this::executeAfterRandomDelay,
                            this::executeWhenDiskResponds),
                    environment.random());
            node = ConsensusNode.create(id, environment.initialMembers(), environment.settings(), ports);
        }

        private void send(MemberId to, ConsensusMessage message) {
            if (message instanceof ConsensusMessage.VoteResponse vote && vote.granted()) {
                environment.history().recordGrantedVote(id, vote.diskId());
            }
            environment.network().send(id, to, message);
        }

        private void onEvent(ConsensusListener.Event event) {
            switch (event) {
                case ConsensusListener.LeadershipGained gained ->
                    environment.history().recordLeader(id, gained.term());
                case ConsensusListener.MembershipChanged changed -> {
                    environment.history().recordMembership(changed.membership());
                    environment.history().acknowledge(History.Acknowledgement.MEMBERSHIP_IN_EFFECT);
                }
                case ConsensusListener.SnapshotSaved ignored ->
                    environment.history().acknowledge(History.Acknowledgement.SNAPSHOT);
                case ConsensusListener.SnapshotInstalled ignored ->
                    environment.history().acknowledge(History.Acknowledgement.SNAPSHOT_INSTALLED);
                case ConsensusListener.MemberFailed failed -> onMemberFailed(failed.failure());
                default -> {}
            }
        }

        private void onMemberFailed(Throwable failure) {
            environment.history().require(isDiskFailure(failure), id + " failed: " + failure);
            if (isCurrent()) {
                incarnation = null;
            }
        }

        private boolean isCurrent() {
            return node().filter(current -> current.equals(node)).isPresent();
        }

        private void executeWhenDiskResponds(Runnable task) {
            Duration hang = Duration.ofNanos(Math.max(0L, diskHangsUntilNanos - nanoTime()));
            if (hang.isZero()) {
                executeAfterRandomDelay(task);
                return;
            }
            schedule(hang, () -> executeWhenDiskResponds(task));
        }

        private void executeAfterRandomDelay(Runnable task) {
            schedule(Duration.ofNanos(environment.random().nextInt(MAX_TASK_DELAY_MICROS) * 1_000L), task);
        }

        private void runWhenResumed(Runnable task) {
            if (!isCurrent()) {
                return;
            }
            long remainingPauseNanos = pausedUntilNanos - nanoTime();
            if (remainingPauseNanos > 0) {
                environment.time().schedule(Duration.ofNanos(remainingPauseNanos), () -> runWhenResumed(task));
                return;
            }
            task.run();
        }

        @Override
        public Instant instant() {
            return environment.time().instant();
        }

        @Override
        public long nanoTime() {
            return environment.time().nanoTime();
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return environment.time().schedule(delay, () -> runWhenResumed(task));
        }
    }
}
