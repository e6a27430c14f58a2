package org.nettlering.consensus.protocol;

import java.util.List;
import java.util.Optional;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Payload;
import org.nettlering.consensus.SnapshotHeader;

/** A write to the durable state. Writes are performed in the order in which the protocol requested them. Immutable. */
public sealed interface DiskWrite {
    /**
     * Performs the write; it is durable after the next {@link LogStorage#sync()}.
     *
     * @param storage the storage to write to, not null
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

    /** Saves the current term and the vote cast in it. */
    record SaveVote(long term, Optional<MemberId> votedFor) implements DiskWrite {}

    /** Appends entries to the log. */
    record Append(List<LogEntry> entries) implements DiskWrite {}

    /** Removes the entries from {@code index} to the end of the log. */
    record Truncate(long index) implements DiskWrite {}

    /** Installs a snapshot received from the leader; {@code retainLog} keeps the entries after it. */
    record Install(SnapshotHeader header, Payload state, boolean retainLog) implements DiskWrite {}

    /** Removes the entries up to {@code index}, which a stored snapshot includes. */
    record Discard(long index) implements DiskWrite {}
}
