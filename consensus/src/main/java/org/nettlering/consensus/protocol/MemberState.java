package org.nettlering.consensus.protocol;

import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.nettlering.consensus.ConsensusListener.LeaderChanged;
import org.nettlering.consensus.ConsensusListener.MembershipChanged;
import org.nettlering.consensus.ConsensusSettings;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.LogStorage.StoredSnapshot;
import org.nettlering.consensus.LogStorage.StoredState;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.SnapshotHeader;
import org.nettlering.domain.time.TimeSource;

/** What a member knows, whatever its role; shared by the parts of the protocol. Not thread-safe. */
final class MemberState {
    /** This member. */
    final MemberId self;

    /** The disk of this member. */
    final long diskId;

    /** Times and limits. */
    final ConsensusSettings settings;

    /** The monotonic clock. */
    final TimeSource time;

    /** Collects what has to be done outside. */
    final Outbox outbox;

    /** The entries in memory. */
    final MemoryLog log;

    /** The memberships in the log. */
    final MembershipHistory membershipHistory;

    /** The latest stored snapshot. */
    SnapshotHeader snapshot;

    /** The role in the current term. */
    Role role = Role.FOLLOWER;

    /** The current term. */
    long term;

    /** Whom this member voted for in the current term. */
    @Nullable
    MemberId votedFor;

    /** Who leads the current term, if known. */
    @Nullable
    MemberId leader;

    /** When the leader was heard of, by the monotonic clock. */
    long lastLeaderContactNanos;

    /** The last entry known to be committed. */
    long commitIndex;

    MemberState(
            MemberId self,
            long diskId,
            ConsensusSettings settings,
            TimeSource time,
            Outbox outbox,
            StoredState stored) {
        this.self = self;
        this.diskId = diskId;
        this.settings = settings;
        this.time = time;
        this.outbox = outbox;
        snapshot = stored.snapshot().map(StoredSnapshot::header).orElse(SnapshotHeader.NONE);
        log = new MemoryLog(snapshot.index(), snapshot.term(), stored.entries());
        membershipHistory = new MembershipHistory(snapshot.index(), snapshot.membership());
        membershipHistory.recordAppended(stored.entries());
        term = stored.term();
        votedFor = stored.votedFor().orElse(null);
        commitIndex = snapshot.index();
    }

    Membership membership() {
        return membershipHistory.current();
    }

    boolean isVoter() {
        return membership().isVoter(self, diskId);
    }

    /** Tells whether this member's disk holds anything of a group, be it only the term of a message. */
    boolean isInitialised() {
        return term > 0 || log.lastIndex() > 0;
    }

    void saveVote() {
        outbox.write(new DiskWrite.SaveVote(term, Optional.ofNullable(votedFor)));
    }

    void append(List<LogEntry> entries) {
        log.append(entries);
        outbox.write(new DiskWrite.Append(entries));
        if (membershipHistory.recordAppended(entries)) {
            reportMembership();
        }
    }

    void truncateFrom(long index) {
        if (index <= commitIndex) {
            throw new IllegalStateException("entry " + index + " is committed but the leader of term " + term
                    + " holds another entry; committed up to " + commitIndex);
        }
        log.truncateFrom(index);
        outbox.write(new DiskWrite.Truncate(index));
        if (membershipHistory.truncateFrom(index)) {
            reportMembership();
        }
    }

    void reportMembership() {
        outbox.report(new MembershipChanged(membershipHistory.currentIndex(), membership()));
    }

    /** Notes that the leader of the current term was heard of. */
    void recordLeaderContact(MemberId from) {
        lastLeaderContactNanos = time.nanoTime();
        if (!from.equals(leader)) {
            leader = from;
            outbox.report(new LeaderChanged(term, from));
        }
    }

    /** Tells whether a leader was heard of within the shortest election timeout, or is this member. */
    boolean hasRecentLeaderContact() {
        if (role == Role.LEADER) {
            return true;
        }
        return leader != null
                && time.nanoTime() - lastLeaderContactNanos
                        < settings.electionTimeout().toNanos();
    }

    /** Tells whether a log that ends with the given entry holds at least what this member's log holds. */
    boolean isUpToDate(long lastIndex, long lastTerm) {
        if (lastTerm != log.lastTerm()) {
            return lastTerm > log.lastTerm();
        }
        return lastIndex >= log.lastIndex();
    }
}
