package org.nettlering.consensus.protocol;

import java.util.ArrayList;
import java.util.List;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.Membership;

/** The memberships in the log, so that a truncated one gives way to the one before it. Not thread-safe. */
final class MembershipHistory {
    /** The memberships, each with the entry that holds it; the first one is at or before the base of the log. */
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

    Membership at(long index) {
        Membership result = versions.getFirst().membership();
        for (Version version : versions) {
            if (version.index() <= index) {
                result = version.membership();
            }
        }
        return result;
    }

    /** Takes over the memberships among appended entries and tells whether there was any. */
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

    boolean truncateFrom(long index) {
        boolean changed = false;
        while (versions.size() > 1 && currentIndex() >= index) {
            versions.removeLast();
            changed = true;
        }
        return changed;
    }

    /** Forgets the memberships before the one that is in force at an entry. */
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
