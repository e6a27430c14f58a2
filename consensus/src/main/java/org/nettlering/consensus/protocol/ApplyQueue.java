package org.nettlering.consensus.protocol;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;

/** What the state machine has to take over next. Not thread-safe. */
final class ApplyQueue {
    /** The most entries that one step applies, in bytes. */
    private static final long MAX_STEP_BYTES = 1L << 20;

    /** What the member knows. */
    private final MemberState state;

    /** A snapshot that replaces the state first, if any. */
    private @Nullable StoredSnapshot pendingRestore;

    /** The last entry that was handed out or that a restored snapshot includes. */
    private long dispatchedIndex;

    /** The last entry that the state machine includes. */
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

    /** Returns the next step, or null if there is none. */
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
