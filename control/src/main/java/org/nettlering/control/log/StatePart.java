package org.nettlering.control.log;

import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;

/**
 * One part of the replicated state, with a lock of its own.
 *
 * <p>Applying is deterministic: it reads no clock and no random number, and the same commands in the same order give the
 * same state on every member.
 */
public interface StatePart {
    /**
     * Applies a committed command that belongs to this part.
     *
     * @param command the command, not null
     * @return the answer to whoever proposed it, never null
     */
    SiteResult apply(SiteCommand command);

    /**
     * Writes this part of the state into a snapshot.
     *
     * @param snapshot the builder that receives it, not null
     */
    void save(SiteSnapshot.Builder snapshot);

    /**
     * Returns the oldest format of snapshots that holds this part of the state in full. Programs that do not know the
     * format refuse the snapshot instead of ignoring what they do not know.
     *
     * @return the format version, 1 or more
     */
    default int requiredFormat() {
        return 1;
    }

    /**
     * Replaces this part of the state by the one in a snapshot.
     *
     * @param snapshot the snapshot, not null
     */
    void restore(SiteSnapshot snapshot);
}
