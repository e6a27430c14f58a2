package org.nettlering.consensus.protocol;

import java.util.HashSet;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.nettlering.consensus.ConsensusListener.ElectionStarted;
import org.nettlering.consensus.ConsensusMessage.PreVoteRequest;
import org.nettlering.consensus.ConsensusMessage.PreVoteResponse;
import org.nettlering.consensus.ConsensusMessage.TimeoutNow;
import org.nettlering.consensus.ConsensusMessage.VoteRequest;
import org.nettlering.consensus.ConsensusMessage.VoteResponse;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;

/**
 * Leader election: the election timeout, the pre-vote and the vote.
 *
 * <p>A pre-vote increments no term, so a member that was partitioned does not force an election when it reconnects. A vote
 * response is sent only after the vote is durable. A vote or pre-vote is granted only if the candidate's membership lists
 * the disk of this member, and counts only if it comes from the disk that the candidate's membership lists for the voter.
 */
final class Elections {
    private final MemberState state;
    private final RoleTransitions roles;
    private final RandomGenerator random;

    /** The members that granted the current pre-vote or vote. */
    private final Set<MemberId> grantedVotes = new HashSet<>();

    /** Time at which the election timeout expires, by the monotonic clock. */
    private long electionDeadlineNanos;

    Elections(MemberState state, RoleTransitions roles, RandomGenerator random) {
        this.state = state;
        this.roles = roles;
        this.random = random;
        resetElectionTimeout();
    }

    /** Restarts the election timeout with a random value between the configured one and twice as much. */
    void resetElectionTimeout() {
        long timeout = state.settings.electionTimeout().toNanos();
        electionDeadlineNanos = state.time.nanoTime() + timeout + random.nextLong(timeout);
    }

    /** Lets the election timeout expire after the group was bootstrapped, so that the next tick starts a pre-vote. */
    void expireElectionTimeout() {
        electionDeadlineNanos = state.time.nanoTime();
    }

    /**
     * Once the election timeout has expired without a message from a leader, knows no leader any more and, if this member
     * is a voter, starts a pre-vote.
     */
    void tick() {
        if (state.role == Role.LEADER || state.time.nanoTime() - electionDeadlineNanos < 0) {
            return;
        }
        resetElectionTimeout();
        state.leader = null;
        if (state.isVoter()) {
            startPreVote();
        }
    }

    private void startPreVote() {
        state.role = Role.PRE_CANDIDATE;
        grantedVotes.clear();
        grantedVotes.add(state.self);
        if (hasQuorum()) {
            startElection(false);
            return;
        }
        for (Member voter : state.membership().voters()) {
            if (!voter.id().equals(state.self)) {
                state.outbox.send(
                        voter.id(),
                        new PreVoteRequest(
                                state.term + 1, voter.diskId(), state.log.lastIndex(), state.log.lastTerm()));
            }
        }
    }

    /**
     * Increments the term and requests votes.
     *
     * @param transfer true for a leadership transfer, in which voters do not deny the vote because of a recent contact with
     *     the leader
     */
    private void startElection(boolean transfer) {
        state.role = Role.CANDIDATE;
        state.leader = null;
        state.term++;
        state.votedFor = state.self;
        state.saveVote();
        grantedVotes.clear();
        resetElectionTimeout();
        state.outbox.report(new ElectionStarted(state.term));
        for (Member voter : state.membership().voters()) {
            if (!voter.id().equals(state.self)) {
                state.outbox.sendWhenDurable(
                        voter.id(),
                        new VoteRequest(
                                state.term, voter.diskId(), state.log.lastIndex(), state.log.lastTerm(), transfer));
            }
        }
        // The vote of this member for itself counts once it is durable; the term may have changed by then.
        long electionTerm = state.term;
        state.outbox.whenDurable(() -> countVote(electionTerm, state.self));
    }

    private void countVote(long electionTerm, MemberId voter) {
        if (state.role != Role.CANDIDATE || state.term != electionTerm) {
            return;
        }
        grantedVotes.add(voter);
        if (hasQuorum()) {
            roles.becomeLeader();
        }
    }

    private boolean hasQuorum() {
        long granted = state.membership().voters().stream()
                .filter(voter -> grantedVotes.contains(voter.id()))
                .count();
        return granted >= state.membership().quorum();
    }

    void receive(MemberId from, PreVoteRequest request) {
        boolean granted = request.targetDisk() == state.diskId
                && request.term() > state.term
                && !state.hasRecentLeaderContact()
                && state.isUpToDate(request.lastIndex(), request.lastTerm());
        state.outbox.sendWhenDurable(from, new PreVoteResponse(state.term, state.diskId, request.term(), granted));
    }

    void receive(MemberId from, PreVoteResponse response) {
        if (response.term() > state.term) {
            roles.becomeFollower(response.term(), "received a response with a higher term");
            return;
        }
        boolean counts = state.role == Role.PRE_CANDIDATE
                && response.granted()
                && response.requestedTerm() == state.term + 1
                && state.membership().isVoter(from, response.diskId());
        if (!counts) {
            return;
        }
        grantedVotes.add(from);
        if (hasQuorum()) {
            startElection(false);
        }
    }

    void receive(MemberId from, VoteRequest request) {
        if (!request.transfer() && state.hasRecentLeaderContact()) {
            // Denied before a higher term is adopted, so that the candidate does not depose a working leader.
            denyVote(from);
            return;
        }
        if (request.term() > state.term) {
            roles.becomeFollower(request.term(), "received a vote request with a higher term");
        }
        boolean granted = request.term() == state.term
                && request.targetDisk() == state.diskId
                && (state.votedFor == null || state.votedFor.equals(from))
                && state.isUpToDate(request.lastIndex(), request.lastTerm());
        if (!granted) {
            denyVote(from);
            return;
        }
        state.role = Role.FOLLOWER;
        // A repeated request of the same candidate is granted again without another write.
        if (state.votedFor == null) {
            state.votedFor = from;
            state.saveVote();
        }
        resetElectionTimeout();
        state.outbox.sendWhenDurable(from, new VoteResponse(state.term, state.diskId, true));
    }

    private void denyVote(MemberId candidate) {
        state.outbox.sendWhenDurable(candidate, new VoteResponse(state.term, state.diskId, false));
    }

    void receive(MemberId from, VoteResponse response) {
        if (response.term() > state.term) {
            roles.becomeFollower(response.term(), "received a response with a higher term");
            return;
        }
        boolean counts = response.granted()
                && response.term() == state.term
                && state.membership().isVoter(from, response.diskId());
        if (counts) {
            countVote(state.term, from);
        }
    }

    /** Starts an election without a pre-vote, because the leader transfers its leadership to this member. */
    void receive(TimeoutNow request) {
        if (request.term() == state.term && state.role == Role.FOLLOWER && state.isVoter()) {
            startElection(true);
        }
    }
}
