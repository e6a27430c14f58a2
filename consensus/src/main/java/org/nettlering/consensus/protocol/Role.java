package org.nettlering.consensus.protocol;

/** What a member is doing in its term. */
public enum Role {
    /** Follows a leader, or waits for one. */
    FOLLOWER,
    /** Asks whether the others would vote for it. */
    PRE_CANDIDATE,
    /** Stands for election. */
    CANDIDATE,
    /** Leads the group. */
    LEADER
}
