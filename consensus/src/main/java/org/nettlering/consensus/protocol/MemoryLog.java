package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.LogEntry;

/** The part of the log that is kept in memory: the entries after a base that a snapshot includes. Not thread-safe. */
final class MemoryLog {
    /** Returned as the term of an entry that is not in memory. */
    static final long UNKNOWN_TERM = -1L;

    /** Index of the entry before the first one in memory; zero if there is none. */
    private long baseIndex;

    private long baseTerm;
    private final ArrayList<LogEntry> entries = new ArrayList<>();

    /** The size of the entries in memory. */
    private long sizeBytes;

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

    /** Returns the size of the entries in memory, in bytes. */
    long sizeBytes() {
        return sizeBytes;
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

    /**
     * Returns the entries from {@code from} to {@code upTo} that fit into {@code maxBytes}, at least one if there is any.
     */
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
            sizeBytes += entry.sizeBytes();
        }
    }

    void truncateFrom(long index) {
        remove(entries.subList((int) (index - baseIndex - 1), entries.size()));
    }

    /** Removes the entries up to {@code index} from memory; a snapshot includes them. */
    void discardUpTo(long index) {
        if (index <= baseIndex) {
            return;
        }
        long term = termAt(index);
        remove(entries.subList(0, (int) (index - baseIndex)));
        baseIndex = index;
        baseTerm = term;
    }

    private void remove(List<LogEntry> removed) {
        removed.forEach(entry -> sizeBytes -= entry.sizeBytes());
        removed.clear();
    }

    /**
     * Returns the index up to which entries can be discarded so that, up to another index, a limited number of limited size
     * stays in memory.
     */
    long discardableUpTo(long index, int maxEntries, long maxBytes) {
        long kept = index;
        long keptBytes = 0;
        while (kept > baseIndex && index - kept < maxEntries) {
            keptBytes += get(kept).sizeBytes();
            if (keptBytes > maxBytes) {
                break;
            }
            kept--;
        }
        return kept;
    }

    /** Removes all entries and starts the log after the given one. */
    void resetTo(long index, long term) {
        entries.clear();
        sizeBytes = 0;
        baseIndex = index;
        baseTerm = term;
    }
}
