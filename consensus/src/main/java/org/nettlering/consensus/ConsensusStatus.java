package org.nettlering.consensus;

import java.util.List;
import java.util.Optional;

/**
 * The status of a member and, if it is the leader, its view of the other members.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member, not null
 * @param diskId the id of its disk
 * @param term the current term
 * @param leader the leader, or empty if unknown, not null
 * @param membership the membership in effect, not null
 * @param membershipCommitted true if the entry of that membership is committed
 * @param lastIndex the index of the last entry of the log
 * @param logBytes the size of the entries that are in memory, in bytes
 * @param commitIndex the index of the last entry known to be committed
 * @param appliedIndex the index of the last entry that the state machine has applied
 * @param snapshotIndex the index of the last entry that the stored snapshot includes
 * @param progress the replication progress of the other members, empty unless this member is the leader, not null
 */
public record ConsensusStatus(
        MemberId self,
        long diskId,
        long term,
        Optional<MemberId> leader,
        Membership membership,
        boolean membershipCommitted,
        long lastIndex,
        long logBytes,
        long commitIndex,
        long appliedIndex,
        long snapshotIndex,
        List<Progress> progress) {
    /**
     * The replication progress of another member, as seen by the leader.
     *
     * @param id the member, not null
     * @param matchIndex the index of the last entry that it has acknowledged
     * @param lastHeardMillis the time since its last response, in milliseconds
     * @param sameDisk false if it responds from another disk than the one listed in the membership
     * @param live true if it responded within the election timeout, from the listed disk
     */
    public record Progress(MemberId id, long matchIndex, long lastHeardMillis, boolean sameDisk, boolean live) {}

    /**
     * Returns how many voters may fail now without losing the quorum, as seen by the leader.
     *
     * @return the number, at least zero; zero unless this member is the leader
     */
    public int survivableMembers() {
        return Math.max(0, liveVoters().size() - membership.quorum());
    }

    /**
     * Returns the failure domains that may each fail now without losing the quorum, as seen by the leader.
     *
     * @return the names in alphabetical order, empty unless this member is the leader, never null
     */
    public List<String> survivableFailureDomains() {
        List<Member> live = liveVoters();
        return membership.members().stream()
                .map(Member::failureDomain)
                .distinct()
                .sorted()
                .filter(domain -> countOutside(domain, live) >= membership.quorum())
                .toList();
    }

    private static long countOutside(String domain, List<Member> voters) {
        return voters.stream()
                .filter(voter -> !voter.failureDomain().equals(domain))
                .count();
    }

    private List<Member> liveVoters() {
        return membership.voters().stream().filter(this::isLive).toList();
    }

    private boolean isLive(Member voter) {
        boolean isLeader =
                voter.id().equals(self) && leader.filter(self::equals).isPresent();
        return isLeader
                || progress.stream()
                        .anyMatch(other -> other.live() && other.id().equals(voter.id()));
    }
}
