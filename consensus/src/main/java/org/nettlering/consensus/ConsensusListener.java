package org.nettlering.consensus;

/**
 * Receives the events of a member, for example for logs and metrics.
 *
 * <p>Called without a lock held, in the order of the events. Implementations are thread-safe and do not block.
 */
public interface ConsensusListener {
    /**
     * Handles an event.
     *
     * @param event the event, not null
     */
    void onEvent(Event event);

    /** An event in a member. */
    sealed interface Event {}

    /**
     * The member became the leader.
     *
     * @param term the term in which it is the leader
     */
    record LeadershipGained(long term) implements Event {}

    /**
     * The member is no longer the leader.
     *
     * @param term the term in which it was the leader
     * @param reason why it stepped down, not null
     */
    record LeadershipLost(long term, String reason) implements Event {}

    /**
     * The member learned the leader of a term.
     *
     * @param term the term
     * @param leader the leader of that term, not null
     */
    record LeaderChanged(long term, MemberId leader) implements Event {}

    /**
     * The member started an election.
     *
     * @param term the term of the election
     */
    record ElectionStarted(long term) implements Event {}

    /**
     * A membership took effect; until it is committed, truncating the log may revert it.
     *
     * @param index the index of its entry
     * @param membership the membership, not null
     */
    record MembershipChanged(long index, Membership membership) implements Event {}

    /**
     * A member responds from another disk than the one listed in the membership.
     *
     * @param member the member, not null
     */
    record DiskReplaced(MemberId member) implements Event {}

    /**
     * The member saved a snapshot of its own state.
     *
     * @param index the index of the last entry that it includes
     * @param sizeBytes the size of the encoded state
     */
    record SnapshotSaved(long index, long sizeBytes) implements Event {}

    /**
     * The member installed a snapshot from the leader.
     *
     * @param index the index of the last entry that it includes
     * @param sizeBytes the size of the encoded state
     */
    record SnapshotInstalled(long index, long sizeBytes) implements Event {}

    /**
     * The state machine could not apply a command; the member goes on with the next one, as all members do.
     *
     * @param index the index of its entry
     * @param failure the cause, not null
     */
    record CommandFailed(long index, Throwable failure) implements Event {}

    /**
     * The disk refuses what the member writes; it is tried again until the disk takes it, or the member stops.
     *
     * @param refusal the cause, not null
     */
    record WritesRefused(Throwable refusal) implements Event {}

    /**
     * A message or an event could not be handed over; it is lost, and the member goes on.
     *
     * @param failure the cause, not null
     */
    record EffectFailed(Throwable failure) implements Event {}

    /**
     * The storage or state machine failed; the member has stopped permanently.
     *
     * @param failure the cause, not null
     */
    record MemberFailed(Throwable failure) implements Event {}
}
