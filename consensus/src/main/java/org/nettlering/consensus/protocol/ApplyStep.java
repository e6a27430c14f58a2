package org.nettlering.consensus.protocol;

import java.util.List;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.Membership;

/** A unit of work for the state machine. Immutable. */
public sealed interface ApplyStep {
    /**
     * Replaces the state of the state machine by a snapshot.
     *
     * @param snapshot the snapshot to restore, not null
     */
    record Restore(StoredSnapshot snapshot) implements ApplyStep {}

    /**
     * Applies committed entries.
     *
     * @param entries the entries in log order, at least one, not null
     * @param membership the membership in effect at the last entry, not null
     */
    record Apply(List<LogEntry> entries, Membership membership) implements ApplyStep {}
}
