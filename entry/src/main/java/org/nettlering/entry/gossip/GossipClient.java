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
 * Asks the other entries what they know, and borrows slots from them.
 *
 * <p>Asks every peer each {@link #GOSSIP_INTERVAL}; when a request has to wait, the peer with the least in flight is asked at once
 * for a free slot. A peer that has not answered for {@link #PEER_TIMEOUT} no longer shares the slots. Thread-safe.
 */
public final class GossipClient implements GossipPeer.ResponseListener {
    /** How often each peer is asked. */
    public static final Duration GOSSIP_INTERVAL = Duration.ofMillis(250);

    /** After which silence a peer no longer shares the slots. */
    public static final Duration PEER_TIMEOUT = Duration.ofSeconds(2);

    private static final int SPARE_SLOTS = 2;
    private static final EventLogger LOGGER = EventLogger.of(GossipClient.class);

    /** The id of this entry. */
    private final String entryId;

    /** What upstreams say. */
    private final UpstreamDirectory directory;

    /** Knows how many requests wait. */
    private final AdmissionController<SlotRequest> admission;

    /** Gives out slots. */
    private final SlotAllocator slotAllocator;

    /** The clock. */
    private final TimeSource time;

    /** The peers. */
    private final List<GossipPeer> peers = new ArrayList<>();

    /** What each peer had in flight, as it said last. */
    private final Map<String, Integer> inFlightByPeer = new ConcurrentHashMap<>();

    /** The peers that share the slots. */
    private final Map<String, Boolean> reachablePeers = new ConcurrentHashMap<>();

    /** True while a peer is asked for slots. */
    private final AtomicBoolean borrowRequestInFlight = new AtomicBoolean();

    /** True while the client runs. */
    private volatile boolean running;

    /**
     * Creates a client that does not run yet.
     *
     * @param entryId the id of this entry, not null
     * @param connections the connections to the other entries by id, not null
     * @param directory what upstreams say, not null
     * @param admission knows how many requests wait, not null
     * @param slotAllocator gives out slots, not null
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

    /** Starts to ask. */
    public void start() {
        running = true;
        runRound();
    }

    /** Stops. */
    public void stop() {
        running = false;
    }

    /** Asks the peer with the least in flight for slots, unless one is being asked. */
    public void borrowSlots() {
        if (!running || !borrowRequestInFlight.compareAndSet(false, true)) {
            return;
        }
        List<GossipPeer> byLoad = peers.stream()
                .filter(peer -> reachablePeers.containsKey(peer.id()))
                .sorted(Comparator.comparingInt(peer -> inFlightByPeer.getOrDefault(peer.id(), 0)))
                .toList();
        for (GossipPeer peer : byLoad) {
            if (peer.trySend(createRequest(peer, true))) {
                return;
            }
        }
        borrowRequestInFlight.set(false);
    }

    /**
     * Tells a peer that it has got a slot back.
     *
     * @param peerId the id of the peer, not null
     */
    public void reportReturnedSlot(String peerId) {
        for (GossipPeer peer : peers) {
            if (running && peer.id().equals(peerId)) {
                peer.trySend(createRequest(peer, false));
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
    public void onMalformedAnnouncement(String peer, NettleringException exception) {
        LOGGER.log(EntryEvent.ANNOUNCEMENT_REJECTED, peer, String.valueOf(exception.getMessage()));
    }

    @Override
    public void onRequestCompleted(GossipPeer peer, boolean successful) {
        borrowRequestInFlight.set(false);
    }

    private void runRound() {
        if (!running) {
            return;
        }
        updateReachablePeers();
        boolean idle = admission.queuedCount() == 0;
        if (idle) {
            slotAllocator.withSlots(table -> {
                table.returnFreeSlots();
                return true;
            });
        }
        for (GossipPeer peer : peers) {
            peer.trySend(createRequest(peer, false));
        }
        time.schedule(GOSSIP_INTERVAL, this::runRound);
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
