package org.nettlering.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.MemberFailed;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.protocol.ApplyStep;
import org.nettlering.consensus.protocol.DiskWrite;
import org.nettlering.consensus.protocol.MemberProtocol;
import org.nettlering.consensus.protocol.Outbox;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;

/**
 * One member of a group that agrees on a log of commands.
 *
 * <p>Create it with its ports, {@link #start() start} it, hand every message from other members to {@link #receive}, and
 * propose commands on the member that leads. A command whose future completes normally is durable on a majority and is
 * applied here; it is never lost while a majority keeps its disks. A failing disk or state machine stops the member for
 * good. Thread-safe; futures complete without a lock held, and what depends on them must not block.
 *
 * <pre>{@code
 * ConsensusNode node = ConsensusNode.create(self, members, ConsensusSettings.DEFAULT, ports);
 * node.start();
 * node.propose(command).thenAccept(result -> ...);
 * }</pre>
 */
public final class ConsensusNode implements AutoCloseable {
    /** What an entry without a command answers. */
    private static final byte[] EMPTY_RESULT = new byte[0];

    /** This member. */
    private final MemberId self;

    /** The members that found the group when every disk is empty. */
    private final List<Member> initialMembers;

    /** Times and limits. */
    private final ConsensusSettings settings;

    /** What the member needs from outside. */
    private final ConsensusPorts ports;

    /** Guards every field below and the protocol. */
    private final ReentrantLock lock = new ReentrantLock();

    /** What the protocol wants done. */
    private final Outbox outbox;

    /** The protocol, once started. */
    private @Nullable MemberProtocol protocol;

    /** The next tick. */
    private TimeSource.@Nullable Timer tickTimer;

    /** True once the member was closed or has failed. */
    private boolean stopped;

    /** True while a thread runs the collected actions. */
    private boolean runningActions;

    /** True while the disk thread has work. */
    private boolean writing;

    /** True while the apply thread has work. */
    private boolean applying;

    /** True while a snapshot is being saved. */
    private boolean savingSnapshot;

    /** True while a snapshot is being loaded. */
    private boolean loadingSnapshot;

    /** How much was applied since the last snapshot, in bytes; used on the apply thread only. */
    private long appliedBytes;

    /**
     * Creates a member that is not started.
     *
     * @param self the member, not null
     * @param initialMembers the members that found the group when every disk is empty; without effect on a group that
     *     exists, not null
     * @param settings times and limits, not null
     * @param ports what the member needs from outside, not null
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
    }

    /**
     * Reads the durable state and takes part in the group. Blocks while it reads.
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
     * Takes a message from another member.
     *
     * @param from the sender, not null
     * @param message the message, not null
     */
    public void receive(MemberId from, ConsensusMessage message) {
        runLocked(activeProtocol -> activeProtocol.receive(from, message));
    }

    /**
     * Appends a command to the log.
     *
     * @param isCommand the command, not changed afterwards, not null
     * @return what the state machine answers; fails with {@code NOT_LEADER}, {@code OVERLOADED} or {@code STOPPING} when
     *     the command certainly was not appended, and with {@code OUTCOME_UNKNOWN} when the member stopped leading
     *     meanwhile, never null
     */
    public CompletableFuture<byte[]> propose(byte[] isCommand) {
        return request((activeProtocol, future) -> activeProtocol.propose(isCommand, future));
    }

    /**
     * Confirms that this member leads, so that reading its state is linearizable.
     *
     * @return completes when the state includes everything that was acknowledged before the call; fails with
     *     {@code NOT_LEADER} or {@code STOPPING}, never null
     */
    public CompletableFuture<Void> readIndex() {
        return request(MemberProtocol::readIndex);
    }

    /**
     * Adds a member without a vote; it gets its vote once it has caught up.
     *
     * @param member the member, not null
     * @return completes when the learner is committed; fails with {@code MEMBERSHIP_REFUSED}, {@code NOT_LEADER} or
     *     {@code OUTCOME_UNKNOWN}, never null
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
     * Hands the leadership over to another voter.
     *
     * @param target the voter, or empty for the one that is the furthest, not null
     * @return completes when this member no longer leads; fails with {@code MEMBERSHIP_REFUSED}, {@code NOT_LEADER} or
     *     {@code DEADLINE_EXCEEDED}, never null
     */
    public CompletableFuture<Void> transferLeadership(Optional<MemberId> target) {
        return request((activeProtocol, future) -> activeProtocol.transferLeadership(target, future));
    }

    /**
     * Tells whether this member believes to lead and has applied every entry of earlier terms.
     *
     * @return true when it is ready to make decisions
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
     * Returns who is believed to lead.
     *
     * @return the leader, or empty if none is known, never null
     */
    public Optional<MemberId> leader() {
        return status().flatMap(ConsensusStatus::leader);
    }

    /**
     * Returns what this member knows of itself and, while it leads, of the others.
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

    /** Stops taking part, fails whatever somebody waits for, and closes the storage. */
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
            if (protocol != null) {
                protocol.stop();
            }
            if (failure != null) {
                outbox.runOutsideLock(() -> ports.listener().onEvent(new MemberFailed(failure)));
            }
        } finally {
            lock.unlock();
        }
        runActions();
    }

    /** A request that the protocol answers through a future. */
    @FunctionalInterface
    private interface Request<T> {
        void submit(MemberProtocol protocol, CompletableFuture<T> future);
    }

    private <T> CompletableFuture<T> request(Request<T> request) {
        CompletableFuture<T> future = new CompletableFuture<>();
        boolean running = runLocked(activeProtocol -> request.submit(activeProtocol, future));
        if (!running) {
            future.completeExceptionally(
                    new NettleringException(ErrorCode.STOPPING, "member " + self + " does not take part in the group"));
        }
        return future;
    }

    /** Runs a step of the protocol under the lock, then whatever it wants done; false if the member is not running. */
    private boolean runLocked(Consumer<MemberProtocol> step) {
        RuntimeException failure = null;
        lock.lock();
        try {
            if (stopped || protocol == null) {
                return false;
            }
            step.accept(protocol);
            dispatchWork(protocol);
        } catch (RuntimeException e) {
            failure = e;
        } finally {
            lock.unlock();
        }
        if (failure != null) {
            stop(failure);
            return true;
        }
        runActions();
        return true;
    }

    /** Wakes the threads that have work. Called under the lock. */
    private void dispatchWork(MemberProtocol activeProtocol) {
        if (!writing && outbox.hasWrites()) {
            writing = true;
            ports.executors().disk().execute(this::writeToDisk);
        }
        if (!loadingSnapshot && outbox.takeSnapshotRequest()) {
            loadingSnapshot = true;
            ports.executors().background().execute(this::loadSnapshot);
        }
        if (!applying && activeProtocol.hasApplyStep()) {
            applying = true;
            ports.executors().apply().execute(this::applySteps);
        }
    }

    /** Runs the collected actions in order, on one thread at a time. */
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
            actions.forEach(Runnable::run);
            actions = takeActions();
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

    /** Writes what was collected and makes it durable with one sync. */
    private void writeToDisk() {
        List<DiskWrite> writes = new ArrayList<>();
        boolean running = runLocked(activeProtocol -> writes.addAll(outbox.takeWrites()));
        if (!running) {
            return;
        }
        try {
            writes.forEach(write -> write.writeTo(ports.storage()));
            ports.storage().sync();
        } catch (RuntimeException e) {
            stop(e);
            return;
        }
        runLocked(activeProtocol -> {
            writing = false;
            activeProtocol.onWritesDurable(writes.size());
        });
    }

    private void applySteps() {
        boolean more = true;
        while (more) {
            more = applyStep();
        }
    }

    private boolean applyStep() {
        List<ApplyStep> steps = new ArrayList<>();
        boolean running = runLocked(activeProtocol -> {
            ApplyStep step = activeProtocol.nextApplyStep();
            if (step == null) {
                applying = false;
            } else {
                steps.add(step);
            }
        });
        if (!running || steps.isEmpty()) {
            return false;
        }
        try {
            switch (steps.getFirst()) {
                case ApplyStep.Restore restore -> restore(restore.snapshot());
                case ApplyStep.Apply apply -> apply(apply);
            }
            return true;
        } catch (RuntimeException e) {
            stop(e);
            return false;
        }
    }

    private void restore(StoredSnapshot snapshot) {
        ports.stateMachine().restore(snapshot.state().bytes());
        appliedBytes = 0;
        runLocked(activeProtocol -> activeProtocol.onSnapshotRestored(snapshot.header()));
    }

    private void apply(ApplyStep.Apply step) {
        List<byte[]> results = new ArrayList<>();
        for (LogEntry entry : step.entries()) {
            boolean isCommand = entry.kind() == LogEntry.Kind.COMMAND;
            byte[] bytes = entry.payload().bytes();
            results.add(isCommand ? ports.stateMachine().apply(entry.index(), bytes) : EMPTY_RESULT);
            appliedBytes += entry.sizeBytes();
        }
        runLocked(activeProtocol -> activeProtocol.onEntriesApplied(step.entries(), results));
        if (appliedBytes >= settings.snapshotIntervalBytes()) {
            captureSnapshot(step);
        }
    }

    /** Captures the state on the apply thread and has it encoded and written on another. */
    private void captureSnapshot(ApplyStep.Apply step) {
        List<Boolean> captureStarted = new ArrayList<>();
        runLocked(activeProtocol -> {
            if (!savingSnapshot) {
                savingSnapshot = true;
                captureStarted.add(true);
            }
        });
        if (captureStarted.isEmpty()) {
            return;
        }
        appliedBytes = 0;
        ReplicatedStateMachine.CapturedState captured = ports.stateMachine().capture();
        LogEntry last = step.entries().getLast();
        ports.executors().background().execute(() -> saveSnapshot(captured, last, step.membership()));
    }

    private void saveSnapshot(ReplicatedStateMachine.CapturedState captured, LogEntry last, Membership membership) {
        try {
            Payload state = Payload.of(captured.encode());
            SnapshotHeader header =
                    new SnapshotHeader(last.index(), last.term(), membership, state.length(), state.checksum());
            ports.storage().saveSnapshot(header, state);
            runLocked(activeProtocol -> {
                savingSnapshot = false;
                activeProtocol.onSnapshotSaved(header);
            });
        } catch (RuntimeException e) {
            stop(e);
        }
    }

    private void loadSnapshot() {
        try {
            Optional<StoredSnapshot> snapshot = ports.storage().loadSnapshot();
            runLocked(activeProtocol -> {
                loadingSnapshot = false;
                snapshot.ifPresent(activeProtocol::onSnapshotLoaded);
            });
        } catch (RuntimeException e) {
            stop(e);
        }
    }
}
