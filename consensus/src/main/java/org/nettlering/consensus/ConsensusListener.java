package org.nettlering.consensus;

/**
 * Hears what happens in a member, for logs, metrics and reactions.
 *
 * <p>Called without a lock held, in the order of the happenings. Implementations are thread-safe and do not block.
 */
public interface ConsensusListener {
    /**
     * Hears of a happening.
     *
     * @param event what happened, not null
     */
    void onEvent(Event event);

    /** Something that happened in a member. */
    sealed interface Event {}

    /**
     * The member began to lead.
     *
     * @param term the term that it leads
     */
    record LeadershipGained(long term) implements Event {}

    /**
     * The member no longer leads.
     *
     * @param term the term that it led
     * @param reason why it stepped down, not null
     */
    record LeadershipLost(long term, String reason) implements Event {}

    /**
     * The member learned who leads.
     *
     * @param term the term
     * @param leader who leads it, not null
     */
    record LeaderChanged(long term, MemberId leader) implements Event {}

    /**
     * The member stands for election.
     *
     * @param term the term that it stands in
     */
    record ElectionStarted(long term) implements Event {}

    /**
     * A membership took effect; it may still be replaced until it is committed.
     *
     * @param index the entry that holds it
     * @param membership the membership, not null
     */
    record MembershipChanged(long index, Membership membership) implements Event {}

    /**
     * A member answers with another disk than the one that the membership lists.
     *
     * @param member the member, not null
     */
    record DiskReplaced(MemberId member) implements Event {}

    /**
     * The member saved a snapshot of its own state.
     *
     * @param index the last entry that it includes
     * @param sizeBytes its size
     */
    record SnapshotSaved(long index, long sizeBytes) implements Event {}

    /**
     * The member took over a snapshot from the leader.
     *
     * @param index the last entry that it includes
     * @param sizeBytes its size
     */
    record SnapshotInstalled(long index, long sizeBytes) implements Event {}

    /**
     * The member's disk or state machine failed; the member has stopped for good.
     *
     * @param failure what failed, not null
     */
    record MemberFailed(Throwable failure) implements Event {}
}
