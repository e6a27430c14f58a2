package org.nettlering.consensus;

/**
 * A member of the group, as listed in a membership.
 *
 * <p>A voter is bound to a disk. A member whose disk was replaced has another disk id, and neither its votes nor its
 * acknowledgements count until a later membership lists that disk. Immutable and thread-safe.
 *
 * @param id the id, not null
 * @param address the address for other members, as IP:PORT, not null
 * @param failureDomain the failure domain of its host, not null
 * @param diskId the id of the disk that it votes with; zero for a learner
 * @param voting true for a voter, which counts towards the quorum; false for a learner
 */
public record Member(MemberId id, String address, String failureDomain, long diskId, boolean voting) {
    /**
     * Returns a learner: a member that replicates the log without a vote.
     *
     * @param id the id, not null
     * @param address the address for other members, as IP:PORT, not null
     * @param failureDomain the failure domain of its host, not null
     * @return the learner, never null
     */
    public static Member learner(MemberId id, String address, String failureDomain) {
        return new Member(id, address, failureDomain, 0L, false);
    }

    /**
     * Returns a copy that is a voter.
     *
     * @param disk the id of the disk that it votes with
     * @return the voter, never null
     */
    public Member withVote(long disk) {
        return new Member(id, address, failureDomain, disk, true);
    }

    /**
     * Returns a copy that is a learner.
     *
     * @return the learner, never null
     */
    public Member withoutVote() {
        return learner(id, address, failureDomain);
    }
}
