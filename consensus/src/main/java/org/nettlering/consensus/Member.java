package org.nettlering.consensus;

/**
 * One member of the group, as the membership lists it.
 *
 * <p>A voting member is tied to the disk that it voted with: a member whose disk was lost comes back with another disk id,
 * and neither its votes nor its acknowledgements count until a later membership lists that disk. Immutable and thread-safe.
 *
 * @param id the name, not null
 * @param address where the other members reach it, as IP:PORT, not null
 * @param failureDomain the failure domain of its host, not null
 * @param diskId the disk that votes and acknowledgements come from; zero for a member without a vote
 * @param voting true if it counts towards the quorum, false for a learner
 */
public record Member(MemberId id, String address, String failureDomain, long diskId, boolean voting) {
    /**
     * Returns a member without a vote.
     *
     * @param id the name, not null
     * @param address where the other members reach it, not null
     * @param failureDomain the failure domain of its host, not null
     * @return the member, never null
     */
    public static Member learner(MemberId id, String address, String failureDomain) {
        return new Member(id, address, failureDomain, 0L, false);
    }

    /**
     * Returns a copy that votes with a disk.
     *
     * @param disk the id of the disk
     * @return the voting member, never null
     */
    public Member withVote(long disk) {
        return new Member(id, address, failureDomain, disk, true);
    }

    /**
     * Returns a copy without a vote.
     *
     * @return the learner, never null
     */
    public Member withoutVote() {
        return learner(id, address, failureDomain);
    }
}
