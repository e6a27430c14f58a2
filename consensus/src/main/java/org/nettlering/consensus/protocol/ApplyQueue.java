package org.nettlering.consensus.protocol;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;

/** The snapshots and committed entries that the state machine has yet to apply, in log order. Not thread-safe. */
final class ApplyQueue {
    /** Maximum size of the entries in one step; a step holds at least one entry. */
    private static final long MAX_STEP_BYTES = 1L << 20;

    private final MemberState state;

    /** The snapshot to restore before any entry is applied, or null. */
    private @Nullable StoredSnapshot pendingRestore;

    /** Index of the last entry returned by {@link #nextStep} or included in a snapshot returned by it. */
    private long dispatchedIndex;

    /** Index of the last entry that the state machine has reported as applied. */
    private long appliedIndex;

    ApplyQueue(MemberState state) {
        this.state = state;
    }

    long appliedIndex() {
        return appliedIndex;
    }

    void restore(StoredSnapshot snapshot) {
        pendingRestore = snapshot;
    }

    boolean hasStep() {
        return pendingRestore != null || dispatchedIndex < state.commitIndex;
    }

    /** Removes and returns the next step, or null if there is none. */
    @Nullable
    ApplyStep nextStep() {
        StoredSnapshot snapshot = pendingRestore;
        if (snapshot != null) {
            pendingRestore = null;
            dispatchedIndex = snapshot.header().index();
            return new ApplyStep.Restore(snapshot);
        }
        if (dispatchedIndex >= state.commitIndex) {
            return null;
        }
        List<LogEntry> entries = state.log.slice(dispatchedIndex + 1, state.commitIndex, MAX_STEP_BYTES);
        dispatchedIndex = entries.getLast().index();
        return new ApplyStep.Apply(entries, state.membershipHistory.at(dispatchedIndex));
    }

    void onApplied(long index) {
        appliedIndex = Math.max(appliedIndex, index);
    }
}
