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

/** The state of a member that all roles share. Not thread-safe. */
final class MemberState {
    final MemberId self;

    /** Id of the disk of this member. */
    final long diskId;

    final ConsensusSettings settings;
    final TimeSource time;
    final Outbox outbox;
    final MemoryLog log;
    final MembershipHistory membershipHistory;

    SnapshotHeader snapshot;

    Role role = Role.FOLLOWER;

    long term;

    /** The candidate that this member voted for in the current term, or null. */
    @Nullable
    MemberId votedFor;

    /** The leader of the current term, or null if unknown. */
    @Nullable
    MemberId leader;

    /** Time of the last message from the leader, by the monotonic clock. */
    long lastLeaderContactNanos;

    /** Index of the last entry known to be committed. */
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

    /** Returns whether this member's disk holds any state of a group, even if it is only a term. */
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
                    + " sent a conflicting entry; commit index " + commitIndex);
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

    /** Records a message from the leader of the current term. */
    void recordLeaderContact(MemberId from) {
        lastLeaderContactNanos = time.nanoTime();
        if (!from.equals(leader)) {
            leader = from;
            outbox.report(new LeaderChanged(term, from));
        }
    }

    /**
     * Returns whether this member is the leader or received a message from the leader within the minimum election timeout.
     */
    boolean hasRecentLeaderContact() {
        if (role == Role.LEADER) {
            return true;
        }
        return leader != null
                && time.nanoTime() - lastLeaderContactNanos
                        < settings.electionTimeout().toNanos();
    }

    /** Returns whether a log that ends with the given entry is at least as up to date as the log of this member. */
    boolean isUpToDate(long lastIndex, long lastTerm) {
        if (lastTerm != log.lastTerm()) {
            return lastTerm > log.lastTerm();
        }
        return lastIndex >= log.lastIndex();
    }
}
