package org.nettlering.consensus.protocol;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.nettlering.consensus.protocol.ProtocolFixture.B;
import static org.nettlering.consensus.protocol.ProtocolFixture.C;
import static org.nettlering.consensus.protocol.ProtocolFixture.DISK_A;
import static org.nettlering.consensus.protocol.ProtocolFixture.DISK_B;
import static org.nettlering.consensus.protocol.ProtocolFixture.DISK_C;
import static org.nettlering.consensus.protocol.ProtocolFixture.MEMBERSHIP;
import static org.nettlering.consensus.protocol.ProtocolFixture.SELF;
import static org.nettlering.consensus.protocol.ProtocolFixture.SETTINGS;
import static org.nettlering.consensus.protocol.ProtocolFixture.bootstrapEntry;
import static org.nettlering.consensus.protocol.ProtocolFixture.command;
import static org.nettlering.consensus.protocol.ProtocolFixture.membership;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.ConsensusMessage.AppendResponse;
import org.nettlering.consensus.ConsensusMessage.PreVoteRequest;
import org.nettlering.consensus.ConsensusMessage.PreVoteResponse;
import org.nettlering.consensus.ConsensusMessage.TimeoutNow;
import org.nettlering.consensus.ConsensusMessage.VoteRequest;
import org.nettlering.consensus.ConsensusMessage.VoteResponse;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

class MemberProtocolTest {
    private static final Duration TWO_ELECTION_TIMEOUTS =
            SETTINGS.electionTimeout().multipliedBy(2);

    private static ProtocolFixture follower() {
        return new ProtocolFixture(1, Optional.empty(), bootstrapEntry());
    }

    private static ProtocolFixture leader() {
        ProtocolFixture fixture = follower();
        fixture.winElection();
        fixture.sync();
        return fixture;
    }

    /** Returns a leader that has committed the first entry of its term, which has index 2. */
    private static ProtocolFixture leaderWithCommittedTermStart() {
        ProtocolFixture fixture = leader();
        fixture.acknowledge(B, DISK_B, 2);
        return fixture;
    }

    private static ErrorCode codeOf(CompletableFuture<?> future) {
        assertThat(future).isCompletedExceptionally();
        try {
            future.join();
        } catch (CompletionException e) {
            if (e.getCause() instanceof NettleringException exception) {
                return exception.code();
            }
        }
        throw new AssertionError("the future did not fail with an error code");
    }

    @Test
    void preVoteDoesNotIncrementTerm() {
        ProtocolFixture member = follower();

        for (int round = 0; round < 5; round++) {
            member.advance(TWO_ELECTION_TIMEOUTS);
        }

        assertThat(member.sent(PreVoteRequest.class)).isNotEmpty();
        assertThat(member.protocol.status().term()).isEqualTo(1);
    }

    @Test
    void learnerWithoutLeaderContactKnowsNoLeader() {
        Membership withoutOwnVote = MEMBERSHIP.with(Member.learner(SELF, "a:1", "one"));
        ProtocolFixture learner = new ProtocolFixture(1, Optional.empty(), membership(1, 1, withoutOwnVote));
        learner.receive(B, new AppendRequest(1, 1, 1, List.of(), 1, 1));
        assertThat(learner.protocol.status().leader()).contains(B);

        learner.advance(TWO_ELECTION_TIMEOUTS);

        assertThat(learner.protocol.status().leader()).isEmpty();
        assertThat(learner.sent(PreVoteRequest.class)).isEmpty();
    }

    @Test
    void memberWithRecentLeaderContactGrantsNoVotes() {
        ProtocolFixture member = follower();
        member.receive(B, member.append(1, 1, 1));

        member.receive(C, new PreVoteRequest(2, DISK_A, 9, 1));
        member.receive(C, new VoteRequest(2, DISK_A, 9, 1, false));

        assertThat(member.lastSent(PreVoteResponse.class).granted()).isFalse();
        assertThat(member.lastSent(VoteResponse.class).granted()).isFalse();
        assertThat(member.protocol.status().term()).isEqualTo(1);
    }

    @Test
    void voteResponseIsSentOnlyAfterVoteIsDurable() {
        ProtocolFixture member = follower();

        member.receive(B, new VoteRequest(2, DISK_A, 1, 1, false));
        assertThat(member.sent(VoteResponse.class)).isEmpty();
        member.sync();

        assertThat(member.lastSent(VoteResponse.class).granted()).isTrue();
    }

    @Test
    void memberVotesOncePerTermAcrossRestart() {
        ProtocolFixture restarted = new ProtocolFixture(2, Optional.of(B), bootstrapEntry());

        restarted.receive(C, new VoteRequest(2, DISK_A, 1, 1, false));
        restarted.sync();

        assertThat(restarted.lastSent(VoteResponse.class).granted()).isFalse();
    }

    @Test
    void grantedVoteIsWrittenToDisk() {
        ProtocolFixture member = follower();

        member.receive(B, new VoteRequest(2, DISK_A, 1, 1, false));

        assertThat(member.outbox.takeWrites()).contains(new DiskWrite.SaveVote(2, Optional.of(B)));
    }

    @Test
    void voteRequestForAnotherDiskIsDenied() {
        ProtocolFixture member = follower();

        member.receive(B, new VoteRequest(2, DISK_A + 100, 1, 1, false));
        member.sync();

        assertThat(member.lastSent(VoteResponse.class).granted()).isFalse();
    }

    @Test
    void candidateWithOutdatedLogIsDeniedVote() {
        ProtocolFixture member = new ProtocolFixture(1, Optional.empty(), bootstrapEntry(), command(2, 1));

        member.receive(B, new VoteRequest(2, DISK_A, 1, 1, false));
        member.sync();

        assertThat(member.lastSent(VoteResponse.class).granted()).isFalse();
    }

    @Test
    void voteFromUnlistedDiskIsIgnored() {
        ProtocolFixture member = follower();
        member.advance(TWO_ELECTION_TIMEOUTS);
        member.receive(B, new PreVoteResponse(1, DISK_B, 2, true));
        member.sync();

        member.receive(B, new VoteResponse(2, DISK_B + 100, true));

        assertThat(member.protocol.status().leader()).isEmpty();
    }

    @Test
    void entryOfEarlierTermIsNotCommittedByCountingReplicas() {
        ProtocolFixture member = new ProtocolFixture(2, Optional.empty(), bootstrapEntry(), command(2, 2));
        member.winElection();
        member.sync();

        member.acknowledge(B, DISK_B, 2);
        assertThat(member.protocol.status().commitIndex()).isZero();
        member.acknowledge(B, DISK_B, 3);

        assertThat(member.protocol.status().commitIndex()).isEqualTo(3);
    }

    @Test
    void leaderCountsItselfOnlyAfterItsEntryIsDurable() {
        ProtocolFixture member = follower();
        member.winElection();

        member.acknowledge(B, DISK_B, 2);
        assertThat(member.protocol.status().commitIndex()).isZero();
        member.sync();

        assertThat(member.protocol.status().commitIndex()).isEqualTo(2);
    }

    @Test
    void acknowledgementFromUnlistedDiskIsIgnored() {
        ProtocolFixture member = leader();

        member.acknowledge(B, DISK_B + 100, 2);

        assertThat(member.protocol.status().commitIndex()).isZero();
    }

    @Test
    void delayedAcknowledgementFromReplacedDiskIsIgnored() {
        ProtocolFixture member = leader();
        member.acknowledge(B, DISK_B + 100, 0);

        member.acknowledge(B, DISK_B, 2);

        assertThat(member.protocol.status().commitIndex()).isZero();
    }

    @Test
    void leaderWithoutQuorumContactStepsDownAndFailsProposalsAsOutcomeUnknown() {
        ProtocolFixture member = leaderWithCommittedTermStart();
        CompletableFuture<byte[]> proposal = member.propose();

        member.advance(TWO_ELECTION_TIMEOUTS);

        assertThat(codeOf(proposal)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(codeOf(member.propose())).isEqualTo(ErrorCode.NOT_LEADER);
    }

    @Test
    void readWaitsForRoundStartedAfterIt() {
        ProtocolFixture member = leaderWithCommittedTermStart();
        AppendResponse earlierResponse = new AppendResponse(2, DISK_B, true, 2, 3, 0);
        CompletableFuture<Void> read = new CompletableFuture<>();

        member.protocol.readIndex(read);
        member.receive(B, earlierResponse);
        assertThat(read).isNotDone();
        member.acknowledge(B, DISK_B, 2);
        assertThat(read).isNotDone();
        member.applyNextStep();

        assertThat(read).isCompleted();
    }

    @Test
    void responseToLeaderOfEarlierTermConfirmsNoRound() {
        ProtocolFixture member = new ProtocolFixture(3, Optional.empty(), bootstrapEntry());

        member.receive(B, new AppendRequest(2, 1, 1, List.of(), 1, 40));
        member.sync();

        assertThat(member.lastSent(AppendResponse.class)).isEqualTo(new AppendResponse(3, DISK_A, false, 0, 0, 0));
    }

    @Test
    void readIsRejectedBeforeAnEntryOfTheTermIsCommitted() {
        ProtocolFixture member = leader();
        CompletableFuture<Void> read = new CompletableFuture<>();

        member.protocol.readIndex(read);
        member.runActions();

        assertThat(codeOf(read)).isEqualTo(ErrorCode.NOT_LEADER);
    }

    @Test
    void membershipChangeIsRejectedBeforeAnEntryOfTheTermIsCommitted() {
        ProtocolFixture member = new ProtocolFixture(1, Optional.empty(), bootstrapEntry(), command(2, 1));
        member.receive(B, new AppendRequest(1, 2, 1, List.of(), 2, 0));
        member.winElection();
        member.sync();

        assertThat(codeOf(add(member, "d"))).isEqualTo(ErrorCode.MEMBERSHIP_REFUSED);
    }

    @Test
    void membershipChangeIsRejectedWhileAnotherIsUncommitted() {
        ProtocolFixture member = leaderWithCommittedTermStart();

        assertThat(add(member, "d")).isNotDone();

        assertThat(codeOf(add(member, "e"))).isEqualTo(ErrorCode.MEMBERSHIP_REFUSED);
    }

    private static CompletableFuture<Void> add(ProtocolFixture member, String id) {
        CompletableFuture<Void> future = new CompletableFuture<>();
        member.protocol.addMember(Member.learner(MemberId.of(id), id + ":1", "four"), future);
        member.runActions();
        return future;
    }

    private static CompletableFuture<Void> remove(ProtocolFixture member, MemberId id) {
        CompletableFuture<Void> future = new CompletableFuture<>();
        member.protocol.removeMember(id, future);
        member.runActions();
        return future;
    }

    @Test
    void removalIsRejectedWhenRemainingVotersRespondedOnlyBeforeIt() {
        ProtocolFixture member = leaderWithCommittedTermStart();
        member.acknowledge(C, DISK_C, 2);

        CompletableFuture<Void> removal = remove(member, B);
        member.advance(SETTINGS.electionTimeout().minusMillis(100));
        member.acknowledge(B, DISK_B, 2);
        member.advance(Duration.ofMillis(200));

        assertThat(codeOf(removal)).isEqualTo(ErrorCode.MEMBERSHIP_REFUSED);
        assertThat(member.protocol.status().membership()).isEqualTo(MEMBERSHIP);
    }

    @Test
    void memberIsRemovedOnceMajorityOfRemainingVotersResponds() {
        ProtocolFixture member = leaderWithCommittedTermStart();

        CompletableFuture<Void> removal = remove(member, B);
        assertThat(member.protocol.status().membership()).isEqualTo(MEMBERSHIP);
        member.acknowledge(C, DISK_C, 2);
        assertThat(member.protocol.status().membership()).isEqualTo(MEMBERSHIP.without(B));
        member.sync();
        member.acknowledge(C, DISK_C, 3);

        assertThat(removal).isCompleted();
    }

    @Test
    void voterWithReplacedDiskBecomesLearnerAndRegainsVoteWhenCaughtUp() {
        ProtocolFixture member = leaderWithCommittedTermStart();
        member.acknowledge(C, DISK_C, 2);
        member.acknowledge(B, DISK_B + 100, 0);

        member.advance(SETTINGS.heartbeatInterval());
        member.sync();
        assertThat(member.protocol.status().membership().isVoter(B, DISK_B)).isFalse();
        member.acknowledge(C, DISK_C, 3);
        member.advance(SETTINGS.heartbeatInterval());
        assertThat(member.protocol.status().membership().find(B).orElseThrow().voting())
                .isFalse();
        member.acknowledge(B, DISK_B + 100, 3);
        member.advance(SETTINGS.heartbeatInterval());

        assertThat(member.protocol.status().membership().isVoter(B, DISK_B + 100))
                .isTrue();
    }

    @Test
    void delayedShorterAppendRemovesNoEntries() {
        ProtocolFixture member = follower();
        member.receive(B, member.append(1, 1, 1, command(2, 1), command(3, 1)));

        member.receive(B, member.append(1, 1, 1, command(2, 1)));

        assertThat(member.protocol.status().lastIndex()).isEqualTo(3);
    }

    @Test
    void truncatingMembershipEntryRestoresPreviousMembership() {
        Membership membershipWithoutC = MEMBERSHIP.without(C);
        ProtocolFixture member =
                new ProtocolFixture(2, Optional.empty(), bootstrapEntry(), membership(2, 2, membershipWithoutC));
        assertThat(member.protocol.status().membership()).isEqualTo(membershipWithoutC);

        member.receive(B, member.append(3, 1, 1, command(2, 3)));

        assertThat(member.protocol.status().membership()).isEqualTo(MEMBERSHIP);
    }

    @Test
    void appendConflictingWithCommittedEntryThrows() {
        ProtocolFixture member = new ProtocolFixture(1, Optional.empty(), bootstrapEntry(), command(2, 1));
        member.receive(B, new AppendRequest(1, 2, 1, List.of(), 2, 0));

        assertThatThrownBy(() -> member.receive(C, member.append(2, 1, 1, command(2, 2))))
                .isInstanceOf(IllegalStateException.class)
                .hasMessageContaining("entry 2 is committed");
    }

    @Test
    void unresponsiveMemberReceivesAtMostMaxMessagesInFlight() {
        ProtocolFixture member = leaderWithCommittedTermStart();
        int sentBefore = member.sent(AppendRequest.class).size();

        for (int proposed = 0; proposed < 100; proposed++) {
            assertThat(member.propose()).isNotDone();
        }

        long toB = member.sent.subList(sentBefore, member.sent.size()).stream()
                .filter(sent -> sent.to().equals(B)
                        && sent.message() instanceof AppendRequest request
                        && !request.entries().isEmpty())
                .count();
        assertThat(toB).isEqualTo(SETTINGS.maxMessagesInFlight());
    }

    @Test
    void leaderRejectsProposalsDuringLeadershipTransfer() {
        ProtocolFixture member = leaderWithCommittedTermStart();
        CompletableFuture<Void> transfer = new CompletableFuture<>();

        member.protocol.transferLeadership(Optional.of(B), transfer);
        member.runActions();

        assertThat(member.sent(TimeoutNow.class)).isNotEmpty();
        assertThat(codeOf(member.propose())).isEqualTo(ErrorCode.NOT_LEADER);
        member.receive(B, new VoteRequest(3, DISK_A, 2, 2, true));
        assertThat(transfer).isCompleted();
    }
}
