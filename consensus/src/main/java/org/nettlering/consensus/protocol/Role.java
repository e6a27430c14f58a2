package org.nettlering.consensus.protocol;

/** The role of a member in its current term. */
public enum Role {
    /** Replicates the log of the leader, or waits for a leader. */
    FOLLOWER,
    /** Asks whether the other voters would vote for it, without incrementing the term. */
    PRE_CANDIDATE,
    /** Requests votes in an election. */
    CANDIDATE,
    /** Appends to the log and replicates it to the other members. */
    LEADER
}
