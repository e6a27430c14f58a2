package org.nettlering.consensus;

import java.util.List;
import java.util.Optional;

/**
 * What a member knows of itself and, while it leads, of the others.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member, not null
 * @param diskId the disk of the member
 * @param term the current term
 * @param leader who leads, if known, not null
 * @param membership the membership in force, not null
 * @param membershipCommitted true if that membership can no longer be replaced by an earlier one
 * @param lastIndex the last entry of the log
 * @param commitIndex the last entry known to be committed
 * @param appliedIndex the last entry that the state machine includes
 * @param snapshotIndex the last entry that the stored snapshot includes
 * @param progress the other members as the leader sees them, empty on other members, not null
 */
public record ConsensusStatus(
        MemberId self,
        long diskId,
        long term,
        Optional<MemberId> leader,
        Membership membership,
        boolean membershipCommitted,
        long lastIndex,
        long commitIndex,
        long appliedIndex,
        long snapshotIndex,
        List<Progress> progress) {
    /**
     * Another member as the leader sees it.
     *
     * @param id the member, not null
     * @param matchIndex the last entry that it has acknowledged
     * @param lastHeardMillis how long ago it answered
     * @param sameDisk false if it answers with another disk than the membership lists
     * @param live true if it answered within the election timeout, with the listed disk
     */
    public record Progress(MemberId id, long matchIndex, long lastHeardMillis, boolean sameDisk, boolean live) {}

    /**
     * Returns how many voters can be lost now without losing the quorum, as the leader sees it.
     *
     * @return the number, at least zero; zero on other members
     */
    public int survivableMembers() {
        return Math.max(0, liveVoters().size() - membership.quorum());
    }

    /**
     * Returns the failure domains each of which can be lost now without losing the quorum, as the leader sees it.
     *
     * @return the names in order, empty on other members, never null
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
