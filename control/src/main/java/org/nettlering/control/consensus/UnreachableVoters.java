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
 * unreachable asks to be taken in again. Immutable and thread-safe.
 *
 * @param removalDelay how long a voter may be without any response, not null
 * @param minVoters the number of voters below which the group does not shrink
 */
record UnreachableVoters(Duration removalDelay, int minVoters) {
    /** Longer than a restart of a host, as a returning voter must catch up as a learner first. */
    private static final Duration REMOVAL_DELAY = Duration.ofSeconds(10);

    /** A smaller group would not bear the loss of any member. */
    private static final int LEAST_VOTERS = 3;

    /**
     * Returns the decision for a group that bears the loss of some disks at once.
     *
     * @param toleratedLosses the number of disks that may be lost at once, at least zero
     * @return the decision, never null
     */
    static UnreachableVoters bearing(int toleratedLosses) {
        return new UnreachableVoters(REMOVAL_DELAY, Math.max(LEAST_VOTERS, 2 * toleratedLosses + 1));
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
        return status.progress().stream()
                .filter(progress -> voters.contains(progress.id()))
                .filter(progress -> progress.lastHeardMillis() >= removalDelay.toMillis())
                .max(Comparator.comparingLong(Progress::lastHeardMillis))
                .map(Progress::id);
    }
}
