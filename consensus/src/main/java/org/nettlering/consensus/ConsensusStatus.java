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
     */
    public record Progress(MemberId id, long matchIndex, long lastHeardMillis, boolean sameDisk) {}
}
