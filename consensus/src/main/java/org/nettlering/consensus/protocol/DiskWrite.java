package org.nettlering.consensus.protocol;

import java.util.List;
import java.util.Optional;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;

/** A change of the durable state, to be written in the order in which it was collected. Immutable. */
public sealed interface DiskWrite {
    /**
     * Writes the change; durable after the next sync.
     *
     * @param storage where to write, not null
     */
    default void writeTo(LogStorage storage) {
        switch (this) {
            case SaveVote vote -> storage.saveVote(vote.term(), vote.votedFor());
            case Append append -> storage.append(append.entries());
            case Truncate truncate -> storage.truncateFrom(truncate.index());
            case Install install -> storage.installSnapshot(install.header(), install.state(), install.retainLog());
            case Discard discard -> storage.discardUpTo(discard.index());
        }
    }

    /** The term and the vote. */
    record SaveVote(long term, Optional<MemberId> votedFor) implements DiskWrite {}

    /** Entries after the last one. */
    record Append(List<LogEntry> entries) implements DiskWrite {}

    /** The removal of entries from an index on. */
    record Truncate(long index) implements DiskWrite {}

    /** A snapshot from the leader. */
    record Install(SnapshotHeader header, Payload state, boolean retainLog) implements DiskWrite {}

    /** The removal of entries that a stored snapshot includes. */
    record Discard(long index) implements DiskWrite {}
}
