package org.nettlering.consensus.protocol;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.ConsensusListener.Event;
import org.nettlering.consensus.ConsensusMessage;
import org.nettlering.consensus.MemberId;

/** Collects what the protocol wants done outside, in order. Used under the lock of the member. */
public final class Outbox {
    /** What runs outside the lock: messages, completions and notices. */
    private List<Runnable> actions = new ArrayList<>();

    /** Writes that the disk thread has not taken. */
    private List<DiskWrite> writes = new ArrayList<>();

    /** What waits for writes to become durable, the earliest first. */
    private final ArrayDeque<DurabilityCallback> durabilityCallbacks = new ArrayDeque<>();

    /** Sends a message. */
    private final Sender sender;

    /** Reports a happening. */
    private final Reporter reporter;

    /** How many writes were collected so far. */
    private long totalWrites;

    /** How many of them are durable. */
    private long durableWrites;

    /** True if the leader needs the stored snapshot in memory. */
    private boolean snapshotRequested;

    /**
     * Creates an empty outbox.
     *
     * @param sender sends messages, outside the lock, not null
     * @param reporter reports happenings, outside the lock, not null
     */
    public Outbox(Sender sender, Reporter reporter) {
        this.sender = sender;
        this.reporter = reporter;
    }

    void send(MemberId to, ConsensusMessage message) {
        actions.add(() -> sender.send(to, message));
    }

    /** Sends a message once everything that was written so far is durable. */
    void sendWhenDurable(MemberId to, ConsensusMessage message) {
        whenDurable(() -> send(to, message));
    }

    void report(Event event) {
        actions.add(() -> reporter.report(event));
    }

    /** Runs an action outside the lock. */
    public void runOutsideLock(Runnable action) {
        actions.add(action);
    }

    void write(DiskWrite write) {
        writes.add(write);
        totalWrites++;
    }

    /** Runs an action under the lock once everything that was written so far is durable. */
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

    /** Takes the request to load the stored snapshot. */
    public boolean takeSnapshotRequest() {
        boolean requested = snapshotRequested;
        snapshotRequested = false;
        return requested;
    }

    /** Takes what has to run outside the lock. */
    public List<Runnable> takeActions() {
        List<Runnable> taken = actions;
        actions = new ArrayList<>();
        return taken;
    }

    /** Tells whether there are writes for the disk thread. */
    public boolean hasWrites() {
        return !writes.isEmpty();
    }

    /** Takes the writes that the disk thread has not taken. */
    public List<DiskWrite> takeWrites() {
        List<DiskWrite> taken = writes;
        writes = new ArrayList<>();
        return taken;
    }

    /** Runs what waited for writes that are durable now. */
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

    /** Reports happenings. */
    @FunctionalInterface
    public interface Reporter {
        /** Reports a happening. */
        void report(Event event);
    }

    private record DurabilityCallback(long writes, Runnable action) {}
}
