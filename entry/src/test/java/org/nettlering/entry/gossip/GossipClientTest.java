package org.nettlering.entry.gossip;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Supplier;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.admission.AdmissionRequest;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.routing.RoutingPolicy;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.upstream.AgedAnnouncement;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamAnnouncement;
import org.nettlering.domain.upstream.UpstreamDirectory;
import org.nettlering.domain.upstream.UpstreamState;
import org.nettlering.entry.upstreams.SlotAllocator;
import org.nettlering.entry.upstreams.SlotRequest;
import org.nettlering.wire.codec.AnnouncementCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.GossipRequest;
import org.nettlering.wire.proto.RequestProto.GossipResponse;
import org.nettlering.wire.proto.RequestProto.UpstreamLoad;
import org.nettlering.wire.transport.Peer;

class GossipClientTest {
    private static final Frame EMPTY = response(GossipResponse.newBuilder());

    private static final Frame UNREADABLE = response(
            GossipResponse.newBuilder().addLoads(UpstreamLoad.newBuilder().setAddress("nonsense")));

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final UpstreamDirectory directory = UpstreamDirectory.create(time);
    private final AdmissionController<SlotRequest> admission =
            AdmissionController.of("e1", new RoutingPolicy.LeasedSlots(), 100, time, new Random(1));
    private final SlotAllocator slots = SlotAllocator.of(admission);
    private final FakePeer second = new FakePeer();
    private final FakePeer third = new FakePeer();
    private final GossipClient client =
            new GossipClient("e1", Map.of("e2", second, "e3", third), directory, admission, slots, time);

    @Test
    void aPeerIsPolledAgainAfterAResponseThatCannotBeRead() {
        second.responses.add(() -> CompletableFuture.completedFuture(UNREADABLE));
        client.start();
        assertThat(second.requests).hasSize(1);

        time.advance(GossipClient.GOSSIP_INTERVAL);
        assertThat(second.requests).hasSize(2);
    }

    @Test
    void theRoundsGoOnAfterACallThatThrows() {
        second.responses.add(() -> {
            throw new IllegalStateException("the network is closed");
        });
        client.start();

        time.advance(GossipClient.GOSSIP_INTERVAL);
        assertThat(second.requests).hasSize(2);
        assertThat(third.requests).hasSize(2);
    }

    @Test
    void slotsAreNotBorrowedTwiceWhileTheResponseOfAnotherPeerArrives() {
        client.start();
        time.advance(GossipClient.GOSSIP_INTERVAL);
        queueOneRequest();
        CompletableFuture<Frame> pending = new CompletableFuture<>();
        second.responses.add(() -> pending);
        third.responses.add(() -> pending);
        client.borrowSlots();
        assertThat(borrowRequests()).hasSize(1);

        second.responses.clear();
        third.responses.clear();
        time.advance(GossipClient.GOSSIP_INTERVAL);
        client.borrowSlots();
        assertThat(borrowRequests()).hasSize(1);

        pending.complete(EMPTY);
        client.borrowSlots();
        assertThat(borrowRequests()).hasSize(2);
    }

    @Test
    void anAnnouncementThatArrivesAfterASuspensionOfTheHostIsAsOldAsTheSuspension() {
        CompletableFuture<Frame> pending = new CompletableFuture<>();
        second.responses.add(() -> pending);
        client.start();
        time.suspend(UpstreamDirectory.ANNOUNCEMENT_LIFETIME);

        pending.complete(response(GossipResponse.newBuilder()
                .addAnnouncements(AnnouncementCodec.toMessage(new AgedAnnouncement(announcement(), Duration.ZERO)))));

        assertThat(directory.serving("previews")).isEmpty();
    }

    /** Submits requests until the only upstream, which has one slot, has none free. */
    private void queueOneRequest() {
        slots.apply(admission.setUpstreams("previews", List.of(announcement())));
        long deadlineNanos = time.nanoTime() + Duration.ofMinutes(1).toNanos();
        while (admission.queuedCount() == 0) {
            slots.submit(new AdmissionRequest<>(new WaitingRequest(), "previews", 50, deadlineNanos, Set.of()), 16);
        }
    }

    private static UpstreamAnnouncement announcement() {
        return new UpstreamAnnouncement(
                "previews", "one", new UpstreamAddress("127.0.0.1", 80), 1, 3, "a", UpstreamState.SERVING, 1, 1);
    }

    private List<GossipRequest> borrowRequests() {
        List<GossipRequest> all = new ArrayList<>(second.requests);
        all.addAll(third.requests);
        return all.stream().filter(request -> request.getWantedCount() > 0).toList();
    }

    private static Frame response(GossipResponse.Builder response) {
        return Frame.newBuilder().setGossipResponse(response).build();
    }

    /** Responds at once and without changes unless a response is prepared. */
    private static final class FakePeer implements Peer {
        private final List<GossipRequest> requests = new ArrayList<>();
        private final Deque<Supplier<CompletionStage<Frame>>> responses = new ArrayDeque<>();

        @Override
        public CompletionStage<Frame> call(Frame request, Duration timeout) {
            requests.add(request.getGossipRequest());
            Supplier<CompletionStage<Frame>> prepared = responses.poll();
            return prepared == null ? CompletableFuture.completedFuture(EMPTY) : prepared.get();
        }

        @Override
        public void send(Frame message) {}
    }

    private static final class WaitingRequest implements SlotRequest {
        @Override
        public void onGranted(UpstreamAddress upstream) {}

        @Override
        public void onRejected(ErrorCode code, Duration retryAfter) {}
    }
}
