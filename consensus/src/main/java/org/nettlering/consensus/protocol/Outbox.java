package org.nettlering.consensus.protocol;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.ConsensusListener.Event;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.MemberId;

/**
 * Collects the effects of the protocol in order: messages, events, completions and disk writes. Used under the lock of the
 * member.
 */
public final class Outbox {
    /** Actions to run outside the lock: messages, completions and events. */
    private List<Runnable> actions = new ArrayList<>();

    /** Writes that the disk thread has not removed yet. */
    private List<DiskWrite> writes = new ArrayList<>();

    /** Callbacks that wait for writes to become durable, the earliest first. */
    private final ArrayDeque<DurabilityCallback> durabilityCallbacks = new ArrayDeque<>();

    private final Sender sender;
    private final Reporter reporter;

    /** Number of writes requested so far. */
    private long totalWrites;

    /** Number of writes that are durable. */
    private long durableWrites;

    /** Whether the leader needs the stored snapshot to be loaded. */
    private boolean snapshotRequested;

    /**
     * Creates an empty outbox.
     *
     * @param sender sends messages, outside the lock, not null
     * @param reporter reports events, outside the lock, not null
     */
    public Outbox(Sender sender, Reporter reporter) {
        this.sender = sender;
        this.reporter = reporter;
    }

    void send(MemberId to, ConsensusMessage message) {
        actions.add(() -> sender.send(to, message));
    }

    /** Sends a message once all writes requested so far are durable. */
    void sendWhenDurable(MemberId to, ConsensusMessage message) {
        whenDurable(() -> send(to, message));
    }

    void report(Event event) {
        actions.add(() -> reporter.report(event));
    }

    /** Schedules an action to run outside the lock, after the actions scheduled before it. */
    public void runOutsideLock(Runnable action) {
        actions.add(action);
    }

    void write(DiskWrite write) {
        writes.add(write);
        totalWrites++;
    }

    /** Runs an action under the lock once all writes requested so far are durable; at once if they are. */
    void whenDurable(Runnable action) {
        if (durableWrites == totalWrites) {
            action.run();
            return;
        }
        durabilityCallbacks.add(new DurabilityCallback(totalWrites, action));
    }

    void requestSnapshot() {
        snapshotRequested = true;
    }

    /** Returns whether the stored snapshot was requested, and clears the request. */
    public boolean takeSnapshotRequest() {
        boolean requested = snapshotRequested;
        snapshotRequested = false;
        return requested;
    }

    /** Removes and returns the actions to run outside the lock. */
    public List<Runnable> takeActions() {
        List<Runnable> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Returns whether there are writes for the disk thread. */
    public boolean hasWrites() {
        return !writes.isEmpty();
    }

    /** Removes and returns the pending writes. */
    public List<DiskWrite> takeWrites() {
        List<DiskWrite> taken = writes;
        writes = new ArrayList<>();
        return taken;
    }

    /** Records that the next {@code count} writes are durable and runs the callbacks that waited for them. */
    public void onWritesDurable(int count) {
        durableWrites += count;
        while (!durabilityCallbacks.isEmpty() && durabilityCallbacks.getFirst().writes() <= durableWrites) {
            durabilityCallbacks.removeFirst().action().run();
        }
    }

    /** Sends messages to other members. */
    @FunctionalInterface
    public interface Sender {
        /** Sends a message; it may be lost. */
        void send(MemberId to, ConsensusMessage message);
    }

    /** Reports events. */
    @FunctionalInterface
    public interface Reporter {
        /** Reports an event. */
        void report(Event event);
    }

    private record DurabilityCallback(long writes, Runnable action) {}
}
