package org.nettlering.control.consensus;

import java.time.Duration;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.consensus.ConsensusStatus.Progress;
import org.nettlering.consensus.MemberId;

/**
 * Decides which voter the leader removes because its host is probably gone for good.
 *
 * <p>Hosts that are replaced get new ids, and nobody says that the old one does not return. If such voters stayed, each
 * replacement would raise the quorum until the voters that are left could not reach it. A removed voter that was only
 * unreachable asks to be taken in again.
 *
 * <p>While the group bears fewer losses than it has to, a voter is removed sooner: each leader counts the silence of a
 * voter from its own election, so hosts that are replaced soon after each other would otherwise keep the group for long in
 * a state in which the next loss ends it. Immutable and thread-safe.
 *
 * @param toleratedLosses the number of losses that the group has to bear, at least zero
 * @param minVoters the number of voters below which the group does not shrink
 */
record UnreachableVoters(int toleratedLosses, int minVoters) {
    /** Longer than a restart of a host, as a returning voter must catch up as a learner first. */
    private static final Duration REMOVAL_DELAY = Duration.ofSeconds(10);

    /** The delay while the group bears too few losses; longer than an election and a usual pause of a process. */
    private static final Duration URGENT_REMOVAL_DELAY = Duration.ofSeconds(3);

    /** A smaller group would not bear the loss of any member. */
    private static final int LEAST_VOTERS = 3;

    /**
     * Returns the decision for a group that bears the loss of some disks at once.
     *
     * @param toleratedLosses the number of disks that may be lost at once, at least zero
     * @return the decision, never null
     */
    static UnreachableVoters bearing(int toleratedLosses) {
        return new UnreachableVoters(toleratedLosses, Math.max(LEAST_VOTERS, 2 * toleratedLosses + 1));
    }

    /**
     * Returns how long a voter may be without any response now.
     *
     * @param status the status of this member, which leads, not null
     * @return the duration, never null
     */
    Duration removalDelay(ConsensusStatus status) {
        return status.survivableMembers() < toleratedLosses ? URGENT_REMOVAL_DELAY : REMOVAL_DELAY;
    }

    /**
     * Returns the voter to remove now: the one that has been unreachable for longest.
     *
     * @param status the status of this member, not null
     * @return the voter, or empty if this member does not lead, a change of the membership is under way, the group is small
     *     already, no quorum responds (this member may have stood still itself), or all voters respond, never null
     */
    Optional<MemberId> findRemovable(ConsensusStatus status) {
        boolean leads = status.leader().filter(status.self()::equals).isPresent();
        if (!leads || !status.membershipCommitted()) {
            return Optional.empty();
        }
        List<MemberId> voters =
                status.membership().voters().stream().map(voter -> voter.id()).toList();
        if (voters.size() <= minVoters) {
            return Optional.empty();
        }
        long respondingVoters = 1
                + status.progress().stream()
                        .filter(progress -> progress.live() && voters.contains(progress.id()))
                        .count();
        if (respondingVoters < status.membership().quorum()) {
            return Optional.empty();
        }
        long delayMillis = removalDelay(status).toMillis();
        return status.progress().stream()
                .filter(progress -> voters.contains(progress.id()))
                .filter(progress -> progress.lastHeardMillis() >= delayMillis)
                .max(Comparator.comparingLong(Progress::lastHeardMillis))
                .map(Progress::id);
    }
}
