package org.nettlering.control.consensus;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.AddMember;
import org.nettlering.wire.proto.MembershipProto.LeaderChange;
import org.nettlering.wire.proto.MembershipProto.ListMembers;
import org.nettlering.wire.proto.MembershipProto.MembershipRequest;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;
import org.nettlering.wire.proto.MembershipProto.RemoveMember;

class MembershipServiceTest {
    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final LeadershipHistory history = LeadershipHistory.of(time, happening -> {});
    private final SingleMember member = new SingleMember(history);
    private final MembershipService service = MembershipService.of(member.node, history);

    private CompletableFuture<MembershipResponse> ask(MembershipRequest.Builder request) {
        Frame frame = Frame.newBuilder().setMembershipRequest(request).build();
        return service.handle(frame).thenApply(Frame::getMembershipResponse).toCompletableFuture();
    }

    private static MembershipRequest.Builder add(String address) {
        return MembershipRequest.newBuilder()
                .setAdd(AddMember.newBuilder()
                        .setMemberId("control-2")
                        .setAddress(address)
                        .setFailureDomain("two"));
    }

    @Test
    void aListNamesVotersAndWhatCanBeLost() {
        member.lead();

        MembershipResponse listed = ask(MembershipRequest.newBuilder().setList(ListMembers.getDefaultInstance()))
                .join();

        assertThat(listed.getMembersList()).singleElement().satisfies(only -> {
            assertThat(only.getMemberId()).isEqualTo("control-1");
            assertThat(only.getVoting()).isTrue();
            assertThat(only.getMatchIndex()).isEqualTo(listed.getCommitIndex());
        });
        assertThat(listed.getLeaderId()).isEqualTo("control-1");
        assertThat(listed.getSurvivableMembers()).isZero();
        assertThat(listed.getSurvivableFailureDomainsList()).isEmpty();
    }

    @Test
    void aListExplainsHowTheLeaderCameToLead() {
        member.lead();

        MembershipResponse listed = ask(MembershipRequest.newBuilder().setList(ListMembers.getDefaultInstance()))
                .join();

        assertThat(listed.getLeaderChangesList())
                .extracting(LeaderChange::getWhat)
                .containsSubsequence("this member stood for election", "this member leads");
        assertThat(listed.getLeaderChangesList())
                .allSatisfy(change -> assertThat(change.getReason()).isNotEmpty());
    }

    @Test
    void anAddedMemberIsALearner() {
        member.lead();

        MembershipResponse changed = ask(add("127.0.0.1:2")).join();

        assertThat(changed.getMembersList())
                .filteredOn(listed -> listed.getMemberId().equals("control-2"))
                .singleElement()
                .satisfies(added -> assertThat(added.getVoting()).isFalse());
    }

    @Test
    void aMemberWithoutAnAddressIsRefused() {
        member.lead();

        assertThat(ask(add(""))).isCompletedExceptionally();
    }

    @Test
    void aMemberWhoseAddressCannotBeReadIsRefused() {
        member.lead();

        assertThat(ask(add("control-2"))).isCompletedExceptionally();
        assertThat(ask(add("127.0.0.1:port"))).isCompletedExceptionally();
        assertThat(ask(add("control-2:7000"))).isCompletedExceptionally();
    }

    @Test
    void aMemberWhoseAddressCannotBeConnectedToIsRefused() {
        member.lead();

        for (String address : List.of("127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:70000")) {
            assertThatThrownBy(() -> ask(add(address)).join()).as(address).hasMessageContaining("is no address");
        }
        assertThat(ask(add("127.0.0.1:2"))).isCompleted();
    }

    @Test
    void theLeaderIsNotRemoved() {
        member.lead();

        assertThat(ask(MembershipRequest.newBuilder()
                        .setRemove(RemoveMember.newBuilder().setMemberId("control-1"))))
                .isCompletedExceptionally();
    }

    @Test
    void aMemberThatDoesNotLeadAnswersNoList() {
        assertThat(ask(MembershipRequest.newBuilder().setList(ListMembers.getDefaultInstance())))
                .isCompletedExceptionally();
    }
}
