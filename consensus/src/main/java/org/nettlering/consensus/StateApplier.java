package org.nettlering.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.protocol.ApplyStep;
import org.nettlering.consensus.protocol.MemberProtocol;
import org.nettlering.consensus.protocol.Outbox;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * Applies committed entries to the state machine of a member, and saves and loads its snapshots.
 *
 * <p>Entries are applied in their order on the apply executor, snapshots are encoded on the background executor. A failure stops
 * the member, but a command that cannot be applied anywhere, and a snapshot for which the disk has no room, do not. Fields are
 * guarded by the lock of the member unless they say otherwise.
 */
final class StateApplier {
    /** The result of an entry that is not a command. */
    private static final byte[] EMPTY_RESULT = new byte[0];

    private final ProtocolAccess access;

    private final ConsensusPorts ports;

    private final Outbox outbox;

    private final long snapshotIntervalBytes;

    /** Whether the apply executor has a task. */
    private boolean applying;

    /** Whether a snapshot is being saved. */
    private boolean savingSnapshot;

    /** Whether a snapshot is being loaded. */
    private boolean loadingSnapshot;

    /** Size of the entries applied since the last snapshot; used on the apply thread only. */
    private long appliedBytes;

    StateApplier(ProtocolAccess access, ConsensusPorts ports, Outbox outbox, long snapshotIntervalBytes) {
        this.access = access;
        this.ports = ports;
        this.outbox = outbox;
        this.snapshotIntervalBytes = snapshotIntervalBytes;
    }

    /** Submits tasks to the executors that have work and are idle. Called under the lock. */
    void dispatch(MemberProtocol protocol) {
        if (!loadingSnapshot && outbox.takeSnapshotRequest()) {
            loadingSnapshot = true;
            ports.executors().background().execute(this::loadSnapshot);
        }
        if (!applying && protocol.hasApplyStep()) {
            applying = true;
            ports.executors().apply().execute(this::applySteps);
        }
    }

    private void applySteps() {
        boolean more = true;
        while (more) {
            more = applyStep();
        }
    }

    private boolean applyStep() {
        List<ApplyStep> steps = new ArrayList<>();
        boolean running = access.run(protocol -> {
            ApplyStep step = protocol.nextApplyStep();
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
        } catch (Throwable e) {
            access.stop(e);
            return false;
        }
    }

    private void restore(StoredSnapshot snapshot) {
        ports.stateMachine().restore(snapshot.state().bytes());
        appliedBytes = 0;
        access.run(protocol -> protocol.onSnapshotRestored(snapshot.header()));
    }

    private void apply(ApplyStep.Apply step) {
        List<byte[]> results = new ArrayList<>();
        for (LogEntry entry : step.entries()) {
            results.add(entry.kind() == LogEntry.Kind.COMMAND ? applyCommand(entry) : EMPTY_RESULT);
            appliedBytes += entry.sizeBytes();
        }
        access.run(protocol -> protocol.onEntriesApplied(step.entries(), results));
        if (appliedBytes >= snapshotIntervalBytes) {
            captureSnapshot(step);
        }
    }

    /** Applies a command; one that cannot be applied on any member must not stop them all, again after each restart. */
    private byte[] applyCommand(LogEntry entry) {
        try {
            return ports.stateMachine().apply(entry.index(), entry.payload().bytes());
        } catch (NettleringException e) {
            if (e.code() != ErrorCode.INTERNAL) {
                throw e;
            }
            access.run(protocol -> protocol.onCommandFailed(entry, e));
            return EMPTY_RESULT;
        }
    }

    /** Captures the state on the apply thread; the background executor encodes and saves it. */
    private void captureSnapshot(ApplyStep.Apply step) {
        List<Boolean> captureStarted = new ArrayList<>();
        access.run(protocol -> {
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
            access.run(protocol -> {
                savingSnapshot = false;
                protocol.onSnapshotSaved(header);
            });
        } catch (Throwable e) {
            if (!DiskWriter.isRefusal(e)) {
                access.stop(e);
                return;
            }
            // The log keeps what the snapshot would have replaced; the next one is due after as many bytes again.
            access.run(protocol -> savingSnapshot = false);
        }
    }

    private void loadSnapshot() {
        try {
            Optional<StoredSnapshot> snapshot = ports.storage().loadSnapshot();
            access.run(protocol -> {
                loadingSnapshot = false;
                snapshot.ifPresent(protocol::onSnapshotLoaded);
            });
        } catch (Throwable e) {
            access.stop(e);
        }
    }
}
