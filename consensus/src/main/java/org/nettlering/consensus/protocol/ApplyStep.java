package org.nettlering.consensus.protocol;

import java.util.List;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.Membership;

/** One step of the state machine. Immutable. */
public sealed interface ApplyStep {
    /**
     * Replaces the state.
     *
     * @param snapshot the new state, not null
     */
    record Restore(StoredSnapshot snapshot) implements ApplyStep {}

    /**
     * Applies committed entries.
     *
     * @param entries the entries, at least one, not null
     * @param membership the membership in force at the last of them, not null
     */
    record Apply(List<LogEntry> entries, Membership membership) implements ApplyStep {}
}
