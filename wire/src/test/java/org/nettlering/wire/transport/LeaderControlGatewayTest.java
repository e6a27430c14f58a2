package org.nettlering.wire.transport;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.runtime.settings.Addresses;
import org.nettlering.wire.proto.FrameProto.Frame;

class LeaderControlGatewayTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final Frame REQUEST = Frame.newBuilder().setTraceparent("t").build();

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<String> asked = new ArrayList<>();
    private final Map<String, Supplier<CompletableFuture<Frame>>> behaviours = new LinkedHashMap<>();

    @Test
    void theMemberThatAFailureNamesIsAskedNext() {
        behave("c1", () -> failing(FrameFailureException.notLeader("c3")));
        behave("c2", () -> failing(FrameFailureException.notLeader("c3")));
        behave("c3", () -> CompletableFuture.completedFuture(REQUEST));
        LeaderControlGateway gateway = gateway();

        assertThat(call(gateway, false)).isCompletedWithValue(REQUEST);
        assertThat(asked).containsExactly("c1", "c3");
        assertThat(call(gateway, false)).isCompletedWithValue(REQUEST);
        assertThat(asked).containsExactly("c1", "c3", "c3");
    }

    @Test
    void anUnknownOutcomeIsNotTriedAgainUnlessTheRequestMayBeRepeated() {
        behave("c1", () -> failing(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "lost")));
        behave("c2", () -> CompletableFuture.completedFuture(REQUEST));
        LeaderControlGateway gateway = gateway();

        CompletableFuture<Frame> once = call(gateway, false);
        assertThat(codeOf(once)).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(asked).containsExactly("c1");
        assertThat(call(gateway, true)).isCompletedWithValue(REQUEST);
    }

    @Test
    void withoutALeaderTheMembersAreAskedUntilTheTimeoutAndTheRequestWasNotRun() {
        behave("c1", () -> failing(FrameFailureException.notLeader(null)));
        behave("c2", () -> failing(new NettleringException(ErrorCode.CONNECTION_LOST, "down")));
        CompletableFuture<Frame> response = call(gateway(), false);

        assertThat(response).isNotDone();
        time.advance(TIMEOUT);
        assertThat(codeOf(response)).isEqualTo(ErrorCode.NO_LEADER);
        assertThat(asked).contains("c1", "c2");
    }

    @Test
    void aLeaderThatIsElectedWhileWaitingTakesTheRequest() {
        behave("c1", () -> failing(FrameFailureException.notLeader(null)));
        behave("c2", () -> failing(FrameFailureException.notLeader(null)));
        CompletableFuture<Frame> response = call(gateway(), false);
        behave("c2", () -> CompletableFuture.completedFuture(REQUEST));
        time.advance(Duration.ofMillis(200));

        assertThat(response).isCompletedWithValue(REQUEST);
    }

    @Test
    void aRefusalOfTheRequestItselfIsPassedOn() {
        behave("c1", () -> failing(new NettleringException(ErrorCode.REVISION_CONFLICT, "revision 4 expected")));
        behave("c2", () -> CompletableFuture.completedFuture(REQUEST));

        assertThat(codeOf(call(gateway(), true))).isEqualTo(ErrorCode.REVISION_CONFLICT);
        assertThat(asked).containsExactly("c1");
    }

    @Test
    void aMemberThatIsOverloadedDoesNotProveThatAnEarlierAttemptHadNoEffect() {
        behave("c1", () -> failing(new NettleringException(ErrorCode.OUTCOME_UNKNOWN, "no response")));
        behave("c2", () -> failing(new NettleringException(ErrorCode.OVERLOADED, "too many calls are pending")));

        assertThat(codeOf(call(gateway(), true))).isEqualTo(ErrorCode.OUTCOME_UNKNOWN);
        assertThat(asked).containsExactly("c1", "c2");
    }

    @Test
    void aMemberThatIsOverloadedAtTheFirstAttemptTellsThatTheRequestHadNoEffect() {
        behave("c1", () -> failing(new NettleringException(ErrorCode.OVERLOADED, "too many calls are pending")));

        assertThat(codeOf(call(gateway(), true))).isEqualTo(ErrorCode.OVERLOADED);
    }

    @Test
    void membersThatRedirectToEachOtherDoNotLoopWithoutWaiting() {
        behave("c1", () -> failing(FrameFailureException.notLeader("c2")));
        behave("c2", () -> failing(FrameFailureException.notLeader("c1")));
        CompletableFuture<Frame> response = call(gateway(), false);

        assertThat(asked).hasSize(3);
        time.advance(TIMEOUT);
        assertThat(codeOf(response)).isEqualTo(ErrorCode.NO_LEADER);
        assertThat(asked).hasSizeLessThanOrEqualTo(3 * 41);
    }

    @Test
    void aLeaderThatTheSettingsDoNotNameIsReachedAtTheAddressOfTheRedirection() {
        behave("c1", () -> failing(FrameFailureException.notLeader("c4", "127.0.0.1:7104")));
        behave("c4", () -> CompletableFuture.completedFuture(REQUEST));
        List<InetSocketAddress> opened = new ArrayList<>();
        LeaderControlGateway gateway = LeaderControlGateway.connecting(
                Map.of("c1", Addresses.parse("127.0.0.1:7101")),
                (id, address) -> {
                    opened.add(address);
                    return new FakePeer(id);
                },
                time);

        assertThat(call(gateway, false)).isCompletedWithValue(REQUEST);
        assertThat(call(gateway, false)).isCompletedWithValue(REQUEST);
        assertThat(asked).containsExactly("c1", "c4", "c4");
        assertThat(opened).extracting(InetSocketAddress::getPort).containsExactly(7101, 7104);
    }

    @Test
    void theLeaderThatTheCallerKnowsOfIsAskedFirst() {
        behave("gone", () -> failing(new NettleringException(ErrorCode.CONNECTION_LOST, "down")));
        behave("leading", () -> CompletableFuture.completedFuture(REQUEST));
        LeaderControlGateway gateway = gateway();

        gateway.setBelievedLeader("leading");
        gateway.setBelievedLeader("unknown");
        assertThat(call(gateway, false)).isCompletedWithValue(REQUEST);
        assertThat(asked).containsExactly("leading");
    }

    @Test
    void aMemberThatMovedIsReachedAtItsNewAddress() {
        behave("c1", () -> failing(FrameFailureException.notLeader("c2", "127.0.0.1:7202")));
        behave("c2", () -> CompletableFuture.completedFuture(REQUEST));
        List<Integer> ports = new ArrayList<>();
        Map<String, InetSocketAddress> settings = new LinkedHashMap<>();
        settings.put("c1", Addresses.parse("127.0.0.1:7101"));
        settings.put("c2", Addresses.parse("127.0.0.1:7102"));
        LeaderControlGateway gateway = LeaderControlGateway.connecting(
                settings,
                (id, address) -> {
                    ports.add(address.getPort());
                    return new FakePeer(id);
                },
                time);

        assertThat(call(gateway, false)).isCompletedWithValue(REQUEST);
        assertThat(ports).containsExactly(7101, 7102, 7202);
    }

    private LeaderControlGateway gateway() {
        Map<String, Peer> members = new LinkedHashMap<>();
        behaviours.keySet().forEach(id -> members.put(id, new FakePeer(id)));
        return LeaderControlGateway.of(members, time);
    }

    private void behave(String id, Supplier<CompletableFuture<Frame>> behaviour) {
        behaviours.put(id, behaviour);
    }

    private static CompletableFuture<Frame> failing(NettleringException exception) {
        return CompletableFuture.failedFuture(exception);
    }

    private static CompletableFuture<Frame> call(LeaderControlGateway gateway, boolean repeatable) {
        return gateway.callLeader(REQUEST, repeatable, TIMEOUT).toCompletableFuture();
    }

    private static ErrorCode codeOf(CompletableFuture<Frame> response) {
        return ((NettleringException) response.exceptionNow()).code();
    }

    private final class FakePeer implements Peer {
        private final String id;

        FakePeer(String id) {
            this.id = id;
        }

        @Override
        public CompletionStage<Frame> call(Frame request, Duration timeout) {
            asked.add(id);
            Supplier<CompletableFuture<Frame>> behaviour = behaviours.get(id);
            return behaviour == null ? CompletableFuture.failedFuture(new IllegalStateException(id)) : behaviour.get();
        }

        @Override
        public void send(Frame message) {}
    }
}
