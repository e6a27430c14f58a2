package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.Membership;

/** The memberships in the log, kept so that truncating one restores the previous one. Not thread-safe. */
final class MembershipHistory {
    /** The memberships with the indexes of their entries, in log order; the first is at or before the base of the log. */
    private final List<Version> versions = new ArrayList<>();

    MembershipHistory(long index, Membership membership) {
        versions.add(new Version(index, membership));
    }

    Membership current() {
        return versions.getLast().membership();
    }

    long currentIndex() {
        return versions.getLast().index();
    }

    /** Returns the membership in effect at an entry, or the earliest known one if the entry precedes it. */
    Membership at(long index) {
        Membership result = versions.getFirst().membership();
        for (Version version : versions) {
            if (version.index() <= index) {
                result = version.membership();
            }
        }
        return result;
    }

    /** Adds the memberships among appended entries; returns whether there were any. */
    boolean recordAppended(List<LogEntry> entries) {
        boolean changed = false;
        for (LogEntry entry : entries) {
            if (entry.kind() == LogEntry.Kind.MEMBERSHIP) {
                versions.add(new Version(entry.index(), MembershipCodec.decode(entry.payload())));
                changed = true;
            }
        }
        return changed;
    }

    /** Removes the memberships from {@code index} on; returns whether there were any. */
    boolean truncateFrom(long index) {
        boolean changed = false;
        while (versions.size() > 1 && currentIndex() >= index) {
            versions.removeLast();
            changed = true;
        }
        return changed;
    }

    /** Removes the memberships before the one in effect at {@code index}. */
    void discardBefore(long index) {
        while (versions.size() > 1 && versions.get(1).index() <= index) {
            versions.removeFirst();
        }
    }

    void resetTo(long index, Membership membership) {
        versions.clear();
        versions.add(new Version(index, membership));
    }

    private record Version(long index, Membership membership) {}
}
