package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.LogEntry;

/** The entries of the log that are in memory, after a base that a snapshot includes. Not thread-safe. */
final class MemoryLog {
    /** Stands for the term of an entry that is not in memory. */
    static final long UNKNOWN_TERM = -1L;

    /** The entry before the first one in memory. */
    private long baseIndex;

    /** The term of that entry. */
    private long baseTerm;

    /** The entries after the base. */
    private final ArrayList<LogEntry> entries = new ArrayList<>();

    MemoryLog(long baseIndex, long baseTerm, List<LogEntry> entries) {
        this.baseIndex = baseIndex;
        this.baseTerm = baseTerm;
        append(entries);
    }

    long baseIndex() {
        return baseIndex;
    }

    long baseTerm() {
        return baseTerm;
    }

    long lastIndex() {
        return baseIndex + entries.size();
    }

    long lastTerm() {
        return entries.isEmpty() ? baseTerm : entries.getLast().term();
    }

    long termAt(long index) {
        if (index == baseIndex) {
            return baseTerm;
        }
        return index < baseIndex || index > lastIndex()
                ? UNKNOWN_TERM
                : get(index).term();
    }

    LogEntry get(long index) {
        return entries.get((int) (index - baseIndex - 1));
    }

    /** Returns entries from an index on, at least one if there is any, as many as fit into a size. */
    List<LogEntry> slice(long from, long upTo, long maxBytes) {
        List<LogEntry> slice = new ArrayList<>();
        long size = 0;
        for (long index = from; index <= Math.min(upTo, lastIndex()); index++) {
            LogEntry entry = get(index);
            size += entry.sizeBytes();
            if (size > maxBytes && !slice.isEmpty()) {
                break;
            }
            slice.add(entry);
        }
        return slice;
    }

    void append(List<LogEntry> added) {
        for (LogEntry entry : added) {
            if (entry.index() != lastIndex() + 1) {
                throw new IllegalStateException("entry " + entry.index() + " does not follow entry " + lastIndex());
            }
            entries.add(entry);
        }
    }

    void truncateFrom(long index) {
        entries.subList((int) (index - baseIndex - 1), entries.size()).clear();
    }

    /** Drops entries from memory that a snapshot includes. */
    void discardUpTo(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = termAt(index);
        entries.subList(0, (int) (index - baseIndex)).clear();
        baseIndex = index;
        baseTerm = term;
    }

    void resetTo(long index, long term) {
        entries.clear();
        baseIndex = index;
        baseTerm = term;
    }
}
