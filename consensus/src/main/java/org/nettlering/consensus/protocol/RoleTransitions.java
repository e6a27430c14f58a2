package org.nettlering.consensus.protocol;

/** Changes the role of the member on request of the parts of the protocol. */
interface RoleTransitions {
    /**
     * Becomes a follower in {@code term}, which becomes the current term if it is higher; {@code reason} says why
     * leadership was lost.
     */
    void becomeFollower(long term, String reason);

    /** Becomes the leader of the current term. */
    void becomeLeader();
}
