package org.nettlering.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Objects;
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

class MemberDiscoveryTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);

    private final Map<String, InetSocketAddress> opened = new HashMap<>();

    private final Set<String> gone = new HashSet<>();

    private String leader = "newcomer-1";

    private String present = "newcomer-1";

    private final LeaderControlGateway gateway = LeaderControlGateway.connecting(
            Map.of("founder", Addresses.parse("127.0.0.1:7101")),
            (id, address) -> {
                opened.put(id, address);
                return new FakePeer(id);
            },
            time);

    @Test
    void theNextLeaderIsFoundAlthoughTheMembersOfTheSettingsAndTheLastLeaderAreGone() {
        MemberDiscovery.start(gateway, time);
        time.advance(MemberDiscovery.INTERVAL);
        gone.add("founder");
        gone.add("newcomer-1");
        leader = "newcomer-2";
        assertThat(callLeader()).succeedsWithin(Duration.ZERO);
    }

    @Test
    void anAddressThatTheGatewayKnowsStays() {
        MemberDiscovery.start(gateway, time);
        time.advance(MemberDiscovery.INTERVAL);
        assertThat(Objects.requireNonNull(opened.get("founder")).getPort()).isEqualTo(7101);
        assertThat(Objects.requireNonNull(opened.get("newcomer-2")).getPort()).isEqualTo(7204);
    }

    @Test
    void membersThatLeftTheGroupGiveTheirPlacesToNewOnes() {
        MemberDiscovery.start(gateway, time);
        for (int number = 1; number <= 50; number++) {
            present = "newcomer-" + number;
            leader = "founder";
            time.advance(MemberDiscovery.INTERVAL);
        }
        assertThat(opened).containsKey("newcomer-50");
        assertThat(gateway.callEveryMember(Frame.getDefaultInstance(), TIMEOUT)).hasSize(3);
    }

    @Test
    void questionsGoOnAfterAFailure() {
        gone.add("founder");
        MemberDiscovery discovery = MemberDiscovery.start(gateway, time);
        time.advance(MemberDiscovery.INTERVAL.plus(TIMEOUT));
        assertThat(opened).containsOnlyKeys("founder");
        gone.clear();
        time.advance(MemberDiscovery.INTERVAL.multipliedBy(2));
        assertThat(opened).containsKeys("founder", "newcomer-1", "newcomer-2");
        discovery.close();
        assertThat(time.pendingTimers()).isZero();
    }

    private CompletableFuture<Frame> callLeader() {
        return gateway.callLeader(Frame.getDefaultInstance(), false, TIMEOUT).toCompletableFuture();
    }

    private Frame members() {
        return Frame.newBuilder()
                .setMembershipResponse(MembershipResponse.newBuilder()
                        .addMembers(member("founder", "127.0.0.1:7201"))
                        .addMembers(member("unreadable", "somewhere"))
                        .addMembers(member(present, "127.0.0.1:7203"))
                        .addMembers(member("newcomer-2", "127.0.0.1:7204")))
                .build();
    }

    private static MemberStatus.Builder member(String id, String address) {
        return MemberStatus.newBuilder().setMemberId(id).setAddress(address);
    }

    private final class FakePeer implements Peer {
        private final String id;

        FakePeer(String id) {
            this.id = id;
        }

        @Override
        public CompletionStage<Frame> call(Frame request, Duration timeout) {
            if (gone.contains(id)) {
                return CompletableFuture.failedFuture(new NettleringException(ErrorCode.CONNECTION_LOST, "gone"));
            }
            if (id.equals(leader)) {
                return CompletableFuture.completedFuture(members());
            }
            boolean named = leader.equals("newcomer-1");
            return CompletableFuture.failedFuture(
                    named
                            ? FrameFailureException.notLeader(leader, "127.0.0.1:7203")
                            : FrameFailureException.notLeader(null));
        }

        @Override
        public void send(Frame message) {}
    }
}
