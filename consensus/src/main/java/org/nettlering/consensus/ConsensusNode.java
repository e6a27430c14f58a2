package org.nettlering.consensus;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.EffectFailed;
import org.nettlering.consensus.ConsensusListener.MemberFailed;
import org.nettlering.consensus.protocol.MemberProtocol;
import org.nettlering.consensus.protocol.MessageValidation;
import org.nettlering.consensus.protocol.Outbox;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;

/**
 * A member of a Raft group, which replicates a log of commands.
 *
 * <p>To run a member, create it with its ports, {@link #start() start} it and pass every message from other members to
 * {@link #receive}. Commands are proposed to the leader.
 *
 * <p>A command whose future completes normally is durable on a majority of the voters and applied on this member; it is
 * never lost while a majority keeps its disks. If the storage, the state machine or a step of the protocol fails, with an
 * exception or an error, the member stops permanently and reports {@code MemberFailed}. Thread-safe. Futures complete without a lock held; their dependent actions must not block.
 *
 * <pre>{@code
 * ConsensusNode node = ConsensusNode.create(self, members, ConsensusSettings.DEFAULT, ports);
 * node.start();
 * node.propose(command).thenAccept(result -> ...);
 * }</pre>
 */
public final class ConsensusNode implements AutoCloseable {
    private final MemberId self;

    /** The members that bootstrap the group when all disks are uninitialised. */
    private final List<Member> initialMembers;

    private final ConsensusSettings settings;
    private final ConsensusPorts ports;

    /** Guards the protocol and the fields below, unless they say otherwise. */
    private final ReentrantLock lock = new ReentrantLock();

    /** The effects of the protocol that are still to be performed. */
    private final Outbox outbox;

    /** The protocol, or null before the start. */
    private @Nullable MemberProtocol protocol;

    private TimeSource.@Nullable Timer tickTimer;

    /** Whether the member was closed or has failed. */
    private boolean stopped;

    /** Whether a thread is running the actions of the outbox. */
    private boolean runningActions;

    private final DiskWriter diskWriter;

    private final StateApplier stateApplier;

    /**
     * Creates a member without starting it.
     *
     * @param self the member, not null
     * @param initialMembers the members that bootstrap the group when all disks are uninitialised; ignored if the
     *     group exists, not null
     * @param settings the timeouts and limits, not null
     * @param ports the storage, transport, state machine and other ports, not null
     * @return a new member, never null
     */
    public static ConsensusNode create(
            MemberId self, List<Member> initialMembers, ConsensusSettings settings, ConsensusPorts ports) {
        return new ConsensusNode(self, initialMembers, settings, ports);
    }

    private ConsensusNode(
            MemberId self, List<Member> initialMembers, ConsensusSettings settings, ConsensusPorts ports) {
        this.self = self;
        this.initialMembers = List.copyOf(initialMembers);
        this.settings = settings;
        this.ports = ports;
        outbox = new Outbox(ports.transport()::send, ports.listener()::onEvent);
        ProtocolAccess access = new Access();
        diskWriter = new DiskWriter(access, ports, outbox, settings.heartbeatInterval());
        stateApplier = new StateApplier(access, ports, outbox, settings.snapshotIntervalBytes());
    }

    /**
     * Loads the durable state and joins the group. Blocks while it loads.
     *
     * @throws NettleringException with {@code STORAGE_CORRUPT}, {@code STORAGE_LOCKED}, {@code STORAGE_TOO_NEW} or
     *     {@code STORAGE_FAILED} if the durable state cannot be used
     */
    public void start() {
        LogStorage.StoredState stored = ports.storage().load();
        lock.lock();
        try {
            protocol = new MemberProtocol(
                    new MemberProtocol.Identity(self, ports.storage().diskId()),
                    initialMembers,
                    settings,
                    ports.time(),
                    ports.random(),
                    outbox,
                    stored);
            scheduleTick();
        } finally {
            lock.unlock();
        }
        runLocked(activeProtocol -> {});
    }

    private void scheduleTick() {
        tickTimer = ports.time().schedule(settings.heartbeatInterval().dividedBy(2), this::tick);
    }

    private void tick() {
        runLocked(activeProtocol -> {
            activeProtocol.tick();
            scheduleTick();
        });
    }

    /**
     * Processes a message from another member.
     *
     * @param from the sender, not null
     * @param message the message, not null
     * @throws NettleringException with {@code INVALID_ARGUMENT} if the message is malformed, which changes nothing
     */
    public void receive(MemberId from, ConsensusMessage message) {
        MessageValidation.requireValid(message);
        runLocked(activeProtocol -> activeProtocol.receive(from, message));
    }

    /**
     * Appends a command to the log.
     *
     * @param isCommand the command, not changed afterwards, not null
     * @return completes with the result of the state machine; fails with {@code NOT_LEADER}, {@code OVERLOADED} or
     *     {@code STOPPING} if the command was not appended, and with {@code OUTCOME_UNKNOWN} if the member lost leadership
     *     or stopped before the result was known, never null
     */
    public CompletableFuture<byte[]> propose(byte[] isCommand) {
        return request((activeProtocol, future) -> activeProtocol.propose(isCommand, future));
    }

    /**
     * Confirms that this member is the leader, so that a read of its state is linearizable.
     *
     * @return completes when the state includes every command that was acknowledged before the call; fails with
     *     {@code NOT_LEADER} or {@code STOPPING}, never null
     */
    public CompletableFuture<Void> readIndex() {
        return request(MemberProtocol::readIndex);
    }

    /**
     * Adds a member as a learner; it becomes a voter once it has caught up.
     *
     * @param member the member, not null
     * @return completes when the membership with the learner is committed; fails with {@code MEMBERSHIP_REFUSED},
     *     {@code NOT_LEADER} or {@code OUTCOME_UNKNOWN}, never null
     */
    public CompletableFuture<Void> addMember(Member member) {
        return request((activeProtocol, future) -> activeProtocol.addMember(member, future));
    }

    /**
     * Removes a member.
     *
     * @param id the member, not null
     * @return completes when the removal is committed; fails with {@code MEMBERSHIP_REFUSED}, {@code NOT_LEADER} or
     *     {@code OUTCOME_UNKNOWN}, never null
     */
    public CompletableFuture<Void> removeMember(MemberId id) {
        return request((activeProtocol, future) -> activeProtocol.removeMember(id, future));
    }

    /**
     * Transfers leadership to another voter.
     *
     * @param target the voter, or empty for the most up-to-date one, not null
     * @return completes when this member is no longer the leader; fails with {@code MEMBERSHIP_REFUSED}, {@code NOT_LEADER}
     *     or {@code DEADLINE_EXCEEDED}, never null
     */
    public CompletableFuture<Void> transferLeadership(Optional<MemberId> target) {
        return request((activeProtocol, future) -> activeProtocol.transferLeadership(target, future));
    }

    /**
     * Returns whether this member assumes that it is the leader and has applied every entry of earlier terms.
     *
     * @return true if it may decide on the state
     */
    public boolean isReadyLeader() {
        lock.lock();
        try {
            return !stopped && protocol != null && protocol.isReadyLeader();
        } finally {
            lock.unlock();
        }
    }

    /**
     * Returns the current term.
     *
     * @return the term, at least zero
     */
    public long term() {
        return status().map(ConsensusStatus::term).orElse(0L);
    }

    /**
     * Returns the leader as far as this member knows.
     *
     * @return the leader, or empty if none is known, never null
     */
    public Optional<MemberId> leader() {
        return status().flatMap(ConsensusStatus::leader);
    }

    /**
     * Returns the status of this member and, if it is the leader, of the other members.
     *
     * @return the status, or empty before the start, never null
     */
    public Optional<ConsensusStatus> status() {
        lock.lock();
        try {
            return protocol == null ? Optional.empty() : Optional.of(protocol.status());
        } finally {
            lock.unlock();
        }
    }

    /** Stops the member, fails all pending requests, and closes the executors and the storage. */
    @Override
    public void close() {
        stop(null);
        ports.executors().close();
        ports.storage().close();
    }

    private void stop(@Nullable Throwable failure) {
        lock.lock();
        try {
            if (stopped) {
                return;
            }
            stopped = true;
            if (tickTimer != null) {
                tickTimer.cancel();
            }
            Throwable cause = stopProtocol(failure);
            if (cause != null) {
                outbox.runOutsideLock(() -> ports.listener().onEvent(new MemberFailed(cause)));
            }
        } finally {
            lock.unlock();
        }
        runActions();
    }

    /** Stops the protocol, which after a failure may fail too; returns the first failure, or null if there was none. */
    private @Nullable Throwable stopProtocol(@Nullable Throwable failure) {
        try {
            if (protocol != null) {
                protocol.stop();
            }
            return failure;
        } catch (Throwable e) {
            return failure == null ? e : failure;
        }
    }

    /** A request that the protocol completes through a future. */
    @FunctionalInterface
    private interface Request<T> {
        void submit(MemberProtocol protocol, CompletableFuture<T> future);
    }

    private <T> CompletableFuture<T> request(Request<T> request) {
        CompletableFuture<T> future = new CompletableFuture<>();
        switch (runLocked(activeProtocol -> request.submit(activeProtocol, future))) {
            case DONE -> {}
            case NOT_RUNNING ->
                future.completeExceptionally(
                        new NettleringException(ErrorCode.STOPPING, "member " + self + " is not running"));
            case FAILED ->
                future.completeExceptionally(new NettleringException(
                        ErrorCode.OUTCOME_UNKNOWN, "member " + self + " failed during the request"));
        }
        return future;
    }

    /** What became of a step of the protocol. */
    private enum StepResult {
        /** It was run. */
        DONE,
        /** It was not run, because the member is not running. */
        NOT_RUNNING,
        /** It failed, and the member stopped. */
        FAILED
    }

    /**
     * Runs a protocol step under the lock, then the resulting actions outside it.
     *
     * <p>Anything that a step throws, errors included, stops the member: the state may be inconsistent then, and a timer or
     * executor that goes on without the step would leave a part of the member dead.
     */
    private StepResult runLocked(Consumer<MemberProtocol> step) {
        Throwable failure = null;
        lock.lock();
        try {
            if (stopped || protocol == null) {
                return StepResult.NOT_RUNNING;
            }
            step.accept(protocol);
            diskWriter.dispatch();
            stateApplier.dispatch(protocol);
        } catch (Throwable e) {
            failure = e;
        } finally {
            lock.unlock();
        }
        if (failure != null) {
            stop(failure);
            return StepResult.FAILED;
        }
        runActions();
        return StepResult.DONE;
    }

    /** The access of the executors to this member. */
    private final class Access implements ProtocolAccess {
        @Override
        public boolean run(Consumer<MemberProtocol> step) {
            return runLocked(step) == StepResult.DONE;
        }

        @Override
        public void stop(Throwable failure) {
            ConsensusNode.this.stop(failure);
        }
    }

    /** Runs the actions of the outbox in order, on one thread at a time. */
    private void runActions() {
        lock.lock();
        try {
            if (runningActions) {
                return;
            }
            runningActions = true;
        } finally {
            lock.unlock();
        }
        List<Runnable> actions = takeActions();
        while (!actions.isEmpty()) {
            actions.forEach(this::runAction);
            actions = takeActions();
        }
    }

    /** Runs an action; one that fails must not keep the later ones from being run, now or ever. */
    private void runAction(Runnable action) {
        try {
            action.run();
        } catch (RuntimeException e) {
            reportEffectFailed(e);
        } catch (Error e) {
            stop(e);
        }
    }

    private void reportEffectFailed(RuntimeException failure) {
        try {
            ports.listener().onEvent(new EffectFailed(failure));
        } catch (RuntimeException ignored) {
            // It is the listener that fails; there is nobody else to tell.
        }
    }

    private List<Runnable> takeActions() {
        lock.lock();
        try {
            List<Runnable> actions = outbox.takeActions();
            runningActions = !actions.isEmpty();
            return actions;
        } finally {
            lock.unlock();
        }
    }
}
