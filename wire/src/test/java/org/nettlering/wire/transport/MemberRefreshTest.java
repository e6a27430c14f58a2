package org.nettlering.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.runtime.settings.Addresses;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.MembershipProto.MemberStatus;
import org.nettlering.wire.proto.MembershipProto.MembershipResponse;

class MemberRefreshTest {
    private static final Duration SEVERAL_REFRESHES = Duration.ofSeconds(10);

    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    /** The members of the group by id, with the port on which each listens. */
    private final Map<String, Integer> members = new LinkedHashMap<>(Map.of("seed", 7101));

    private final Set<String> unreachable = new HashSet<>();

    private final Set<String> opened = new HashSet<>();

    private final LeaderControlGateway gateway = LeaderControlGateway.connecting(
            Map.of("seed", Addresses.parse("127.0.0.1:7101")),
            (id, address) -> {
                opened.add(id);
                return new FakePeer(id);
            },
            time);

    @Test
    void aLeaderIsFoundAfterEveryMemberOfTheSettingsIsGone() {
        MemberRefresh.start(gateway, time);
        members.put("successor", 7104);
        time.advance(SEVERAL_REFRESHES);
        unreachable.add("seed");
        assertThat(callLeader()).isCompleted();
    }

    @Test
    void aMemberThatLeftTheGroupIsForgotten() {
        MemberRefresh.start(gateway, time);
        members.put("successor", 7104);
        time.advance(SEVERAL_REFRESHES);
        members.remove("successor");
        time.advance(SEVERAL_REFRESHES);
        assertThat(opened).contains("successor");
        assertThat(gateway.callEveryMember(Frame.getDefaultInstance(), TIMEOUT)).hasSize(1);
    }

    @Test
    void refreshesGoOnAfterOneThatFailed() {
        MemberRefresh.start(gateway, time);
        unreachable.add("seed");
        time.advance(SEVERAL_REFRESHES);
        unreachable.clear();
        members.put("successor", 7104);
        time.advance(SEVERAL_REFRESHES);
        assertThat(opened).contains("successor");
    }

    private CompletableFuture<Frame> callLeader() {
        CompletableFuture<Frame> response =
                gateway.callLeader(Frame.getDefaultInstance(), true, TIMEOUT).toCompletableFuture();
        time.advance(TIMEOUT);
        return response;
    }

    private Frame listing() {
        MembershipResponse.Builder response = MembershipResponse.newBuilder();
        members.forEach((id, port) ->
                response.addMembers(MemberStatus.newBuilder().setMemberId(id).setAddress("127.0.0.1:" + port)));
        return Frame.newBuilder().setMembershipResponse(response).build();
    }

    private final class FakePeer implements Peer {
        private final String id;

        FakePeer(String id) {
            this.id = id;
        }

        @Override
        public CompletionStage<Frame> call(Frame request, Duration timeout) {
            if (unreachable.contains(id)) {
                return CompletableFuture.failedFuture(new NettleringException(ErrorCode.CONNECTION_LOST, id));
            }
            return CompletableFuture.completedFuture(listing());
        }

        @Override
        public void send(Frame message) {}
    }
}
