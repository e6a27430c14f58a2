package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.consensus.ConsensusMessage.AppendRequest;
import org.nettlering.consensus.LogEntry;
import org.nettlering.consensus.Member;
import org.nettlering.consensus.MemberId;
import org.nettlering.consensus.Membership;
import org.nettlering.consensus.protocol.MembershipCodec;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.MemberStatus;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.transport.ControlGateway;

class GroupJoinTest {
    private static final Duration ATTEMPT_INTERVAL = Duration.ofMillis(500);

    private final SingleMember newcomer = new SingleMember(happening -> {}, List.of());

    private final List<Frame> requests = new ArrayList<>();

    private final List<Member> namedMembers = new ArrayList<>();

    private CompletionStage<Frame> response = CompletableFuture.completedFuture(namingLeader());

    @Test
    void aMemberWithoutALogLearnsWhereTheGroupsMembersAre() {
        start(newcomer);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        assertThat(requests).hasSize(1);
        assertThat(namedMembers).singleElement().satisfies(leader -> {
            assertThat(leader.id()).isEqualTo(MemberId.of("control-7"));
            assertThat(leader.address()).isEqualTo("127.0.0.1:7");
        });
    }

    @Test
    void aMemberThatIsListedButKnowsNoLeaderAsks() {
        SingleMember member = new SingleMember(happening -> {});
        member.lead();
        start(member);
        member.time.advance(ATTEMPT_INTERVAL);
        assertThat(requests).isEmpty();
        member.node.close();
        member.time.advance(ATTEMPT_INTERVAL);
        assertThat(requests).hasSize(1);
    }

    @Test
    void aMemberWhoseLogDoesNotListTheLeaderAsksWhereItIs() {
        follow(newcomer, MemberId.of("control-7"));
        start(newcomer);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        assertThat(requests).hasSize(1);
        assertThat(namedMembers)
                .singleElement()
                .satisfies(leader -> assertThat(leader.address()).isEqualTo("127.0.0.1:7"));
    }

    @Test
    void aMemberWhoseLogListsItselfAndTheLeaderDoesNotAsk() {
        follow(newcomer, MemberId.of("control-2"));
        start(newcomer);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        assertThat(requests).isEmpty();
    }

    @Test
    void attemptsGoOnAfterARefusalAndAfterAResponseThatCannotBeRead() {
        response = CompletableFuture.failedFuture(new NettleringException(ErrorCode.NOT_LEADER, "no leader"));
        start(newcomer);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        response = CompletableFuture.completedFuture(naming(MemberStatus.getDefaultInstance()));
        newcomer.time.advance(ATTEMPT_INTERVAL);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        assertThat(requests).hasSize(3);
    }

    @Test
    void attemptsGoOnAfterTheGatewayThrows() {
        GatewayFailure failing = new GatewayFailure();
        Member self = Member.learner(SingleMember.SELF, "127.0.0.1:1", "one");
        GroupJoin.start(newcomer.node, self, failing, namedMembers::addAll, newcomer.time);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        newcomer.time.advance(ATTEMPT_INTERVAL);
        assertThat(failing.calls).isEqualTo(2);
    }

    /** Lets a member without a log receive a membership of itself and of control-2 from a leader. */
    private static void follow(SingleMember member, MemberId leader) {
        Membership membership = Membership.of(List.of(
                Member.learner(SingleMember.SELF, "127.0.0.1:1", "one"),
                Member.learner(MemberId.of("control-2"), "127.0.0.1:2", "two").withVote(2)));
        LogEntry entry = new LogEntry(1, 1, LogEntry.Kind.MEMBERSHIP, MembershipCodec.encode(membership));
        member.node.receive(leader, new AppendRequest(2, 0, 0, List.of(entry), 1, 0));
    }

    private void start(SingleMember member) {
        Member self = Member.learner(SingleMember.SELF, "127.0.0.1:1", "one");
        GroupJoin.start(member.node, self, new RecordingGateway(), namedMembers::addAll, member.time);
    }

    private static Frame namingLeader() {
        return naming(MemberStatus.newBuilder()
                .setMemberId("control-7")
                .setAddress("127.0.0.1:7")
                .setFailureDomain("seven")
                .build());
    }

    private static Frame naming(MemberStatus status) {
        return Frame.newBuilder()
                .setMembershipResponse(MembershipResponse.newBuilder().addMembers(status))
                .build();
    }

    private final class RecordingGateway implements ControlGateway {
        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean idempotent, Duration timeout) {
            requests.add(request);
            return response;
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }

    private static final class GatewayFailure implements ControlGateway {
        private int calls;

        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean idempotent, Duration timeout) {
            calls++;
            throw new IllegalStateException("the gateway is closed");
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of();
        }
    }
}
