package org.nettlering.consensus.storage;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/** Rebuilds the term, vote and entries by replaying the operations of the log. Not thread-safe. */
final class LogReplay {
    private long term;

    private Optional<MemberId> votedFor = Optional.empty();

    private final List<LogEntry> entries = new ArrayList<>();

    /** The index that the first entry follows, set by {@link LogOperation.Reset}; -1 if unknown. */
    private long resetIndex = -1;

    long term() {
        return term;
    }

    Optional<MemberId> votedFor() {
        return votedFor;
    }

    void apply(LogOperation operation) {
        switch (operation) {
            case LogOperation.Vote vote -> {
                term = vote.term();
                votedFor = vote.votedFor();
            }
            case LogOperation.Append append -> append.entries().forEach(this::append);
            case LogOperation.Truncate truncate -> entries.removeIf(entry -> entry.index() >= truncate.index());
            case LogOperation.Reset reset -> {
                entries.clear();
                resetIndex = reset.index();
            }
        }
    }

    private void append(LogEntry entry) {
        boolean isContiguous = entries.isEmpty()
                ? resetIndex < 0 || entry.index() <= resetIndex + 1
                : entry.index() == entries.getLast().index() + 1;
        if (!isContiguous) {
            throw new NettleringException(
                    ErrorCode.STORAGE_CORRUPT, "log entry " + entry.index() + " does not follow the entry before it");
        }
        entries.add(entry);
    }

    /** Returns the entries after a snapshot; none if the log conflicts with the snapshot at its last index. */
    List<LogEntry> entriesAfter(SnapshotHeader snapshot) {
        List<LogEntry> after = new ArrayList<>();
        for (LogEntry entry : entries) {
            if (entry.index() == snapshot.index() && entry.term() != snapshot.term()) {
                return List.of();
            }
            if (entry.index() > snapshot.index()) {
                after.add(entry);
            }
        }
        if (!after.isEmpty() && after.getFirst().index() != snapshot.index() + 1) {
            throw new NettleringException(
                    ErrorCode.STORAGE_CORRUPT,
                    "log entries " + (snapshot.index() + 1) + " to "
                            + (after.getFirst().index() - 1) + " are missing");
        }
        return after;
    }

    /** Returns true if the entry after {@code index} can be appended to the replayed log. */
    boolean canAppendAfter(long index) {
        return entries.isEmpty()
                ? resetIndex < 0 || resetIndex == index
                : entries.getLast().index() == index;
    }
}
