package org.nettlering.entry.gossip;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.upstream.AgedAnnouncement;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamDirectory;
import org.nettlering.entry.EntryEvent;
import org.nettlering.entry.upstreams.SlotAllocator;
import org.nettlering.entry.upstreams.SlotRequest;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.proto.RequestProto.GossipRequest;
import org.nettlering.wire.proto.RequestProto.GossipResponse;
import org.nettlering.wire.proto.RequestProto.WantedSlots;
import org.nettlering.wire.transport.Peer;

/**
 * Polls the other entries for announcements and loads, and borrows slots from them.
 *
 * <ul>
 *   <li>Every peer is polled each {@link #GOSSIP_INTERVAL}.
 *   <li>When a request is queued, the reachable peer with the fewest requests in flight is asked for free slots
 *       immediately.
 *   <li>A peer that has not responded for {@link #PEER_TIMEOUT} is unreachable and no longer shares the slots.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class GossipClient implements GossipPeer.ResponseListener {
    /** The interval between polls of each peer. */
    public static final Duration GOSSIP_INTERVAL = Duration.ofMillis(250);

    /** The time without a response after which a peer no longer shares the slots. */
    public static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    private static final int SPARE_SLOTS = 2;
    private static final EventLogger LOGGER = EventLogger.of(GossipClient.class);

    private final String entryId;
    private final UpstreamDirectory directory;
    private final AdmissionController<SlotRequest> admission;
    private final SlotAllocator slotAllocator;
    private final TimeSource time;
    private final List<GossipPeer> peers = new ArrayList<>();

    /** The number of requests in flight by peer id, as last reported. */
    private final Map<String, Integer> inFlightByPeer = new ConcurrentHashMap<>();

    /** The ids of the peers that share the slots; the values are unused. */
    private final Map<String, Boolean> reachablePeers = new ConcurrentHashMap<>();

    /** True while a request for slots is in flight. */
    private final AtomicBoolean borrowRequestInFlight = new AtomicBoolean();

    /** Whether the client polls its peers. */
    private volatile boolean running;

    /**
     * Creates a client that is not started.
     *
     * @param entryId the id of this entry, not null
     * @param connections the connections to the other entries by id, not null
     * @param directory receives the announcements of peers, not null
     * @param admission holds the queued requests, not null
     * @param slotAllocator holds the slots of this entry, not null
     * @param time the clock, not null
     */
    public GossipClient(
            String entryId,
            Map<String, ? extends Peer> connections,
            UpstreamDirectory directory,
            AdmissionController<SlotRequest> admission,
            SlotAllocator slotAllocator,
            TimeSource time) {
        this.entryId = entryId;
        this.directory = directory;
        this.admission = admission;
        this.slotAllocator = slotAllocator;
        this.time = time;
        connections.forEach((id, peer) -> peers.add(new GossipPeer(id, peer, time, this)));
    }

    /** Starts polling the peers. */
    public void start() {
        running = true;
        runRound();
    }

    /** Stops polling the peers. */
    public void stop() {
        running = false;
    }

    /** Requests slots from the peer with the fewest requests in flight, unless such a request is in flight. */
    public void borrowSlots() {
        if (!running || !borrowRequestInFlight.compareAndSet(false, true)) {
            return;
        }
        List<GossipPeer> byLoad = peers.stream()
                .filter(peer -> reachablePeers.containsKey(peer.id()))
                .sorted(Comparator.comparingInt(peer -> inFlightByPeer.getOrDefault(peer.id(), 0)))
                .toList();
        for (GossipPeer peer : byLoad) {
            if (peer.trySend(createRequest(peer, true), () -> borrowRequestInFlight.set(false))) {
                return;
            }
        }
        borrowRequestInFlight.set(false);
    }

    /**
     * Reports to a peer that one of its slots was returned.
     *
     * @param peerId the id of the peer, not null
     */
    public void reportReturnedSlot(String peerId) {
        for (GossipPeer peer : peers) {
            if (running && peer.id().equals(peerId)) {
                peer.trySend(createRequest(peer, false), () -> {});
            }
        }
    }

    @Override
    public void onAnnouncement(AgedAnnouncement aged) {
        directory.acceptFromPeer(aged);
    }

    @Override
    public void onResponse(GossipPeer peer, GossipResponse response) {
        Map<UpstreamAddress, Integer> loads = SlotCounts.toLoads(response.getLoadsList());
        Map<UpstreamAddress, Integer> granted = SlotCounts.toSlots(response.getGrantedList());
        inFlightByPeer.put(
                peer.id(), loads.values().stream().mapToInt(Integer::intValue).sum());
        int ownQueuedRequests = admission.queuedCount();
        slotAllocator.withSlots(table -> {
            table.setPeerInFlight(peer.id(), loads);
            table.addBorrowed(peer.id(), granted);
            table.setPeerBacklogged(peer.id(), response.getWaiting() > ownQueuedRequests);
            return granted.size();
        });
    }

    @Override
    public void onMalformedAnnouncement(String peerId, NettleringException exception) {
        LOGGER.log(EntryEvent.ANNOUNCEMENT_REJECTED, peerId, String.valueOf(exception.getMessage()));
    }

    @Override
    public void onResponseFailed(String peerId, RuntimeException exception) {
        LOGGER.log(EntryEvent.GOSSIP_RESPONSE_DROPPED, peerId, String.valueOf(exception.getMessage()));
    }

    private void runRound() {
        if (!running) {
            return;
        }
        try {
            pollPeers();
        } catch (RuntimeException exception) {
            LOGGER.log(EntryEvent.PERIODIC_TASK_FAILED, exception);
        } finally {
            time.schedule(GOSSIP_INTERVAL, this::runRound);
        }
    }

    private void pollPeers() {
        updateReachablePeers();
        boolean idle = admission.queuedCount() == 0;
        if (idle) {
            slotAllocator.withSlots(table -> {
                table.returnFreeSlots();
                return true;
            });
        }
        for (GossipPeer peer : peers) {
            peer.trySend(createRequest(peer, false), () -> {});
        }
    }

    private void updateReachablePeers() {
        boolean changed = false;
        for (GossipPeer peer : peers) {
            boolean isReachable = peer.hasRespondedWithin(PEER_TIMEOUT);
            boolean wasReachable = reachablePeers.containsKey(peer.id());
            if (isReachable == wasReachable) {
                continue;
            }
            changed = true;
            if (isReachable) {
                reachablePeers.put(peer.id(), true);
                LOGGER.log(EntryEvent.PEER_REACHABLE, peer.id());
            } else {
                reachablePeers.remove(peer.id());
                LOGGER.log(EntryEvent.PEER_UNREACHABLE, peer.id());
            }
        }
        if (changed) {
            slotAllocator.withSlots(table -> {
                table.setEntries(reachablePeers.keySet());
                return true;
            });
        }
    }

    private GossipRequest.Builder createRequest(GossipPeer peer, boolean borrowsSlots) {
        Map<String, Integer> queuedByService = borrowsSlots ? admission.queuedByService() : new HashMap<>();
        GossipRequest.Builder request =
                GossipRequest.newBuilder().setEntryId(entryId).setWaiting(admission.queuedCount());
        slotAllocator.withSlots(table -> {
            request.addAllLoads(SlotCounts.toLoadMessages(table.inFlightByInstance()));
            request.addAllHeld(SlotCounts.toMessages(table.borrowedFrom(peer.id())));
            return true;
        });
        queuedByService.forEach((service, count) ->
                request.addWanted(WantedSlots.newBuilder().setService(service).setSlots(count + SPARE_SLOTS)));
        return request;
    }
}
