package org.nettlering.consensus.protocol;

/** How the parts of the protocol change the role of the member. */
interface RoleTransitions {
    /** Follows in a term; a higher term than the current one is taken over. */
    void becomeFollower(long term, String reason);

    /** Leads the current term. */
    void becomeLeader();
}
