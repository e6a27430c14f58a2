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
 * <p>Asks every peer each {@link #INTERVAL}; when a request has to wait, the peer with the least in flight is asked at once
 * for a free slot. A peer that has not answered for {@link #LOST_AFTER} no longer shares the slots. Thread-safe.
 */
public final class GossipClient implements PeerGossip.Receiver {
    /** How often each peer is asked. */
    public static final Duration INTERVAL = Duration.ofMillis(250);

    /** After which silence a peer no longer shares the slots. */
    public static final Duration LOST_AFTER = Duration.ofSeconds(2);

    private static final int SPARE_SLOTS = 2;
    private static final EventLogger LOGGER = EventLogger.of(GossipClient.class);

    /** The id of this entry. */
    private final String entryId;

    /** What upstreams say. */
    private final UpstreamDirectory directory;

    /** Knows how many requests wait. */
    private final AdmissionController<SlotRequest> admission;

    /** Gives out slots. */
    private final SlotAllocator desk;

    /** The clock. */
    private final TimeSource time;

    /** The peers. */
    private final List<PeerGossip> peers = new ArrayList<>();

    /** What each peer had in flight, as it said last. */
    private final Map<String, Integer> peerLoads = new ConcurrentHashMap<>();

    /** The peers that share the slots. */
    private final Map<String, Boolean> alive = new ConcurrentHashMap<>();

    /** True while a peer is asked for slots. */
    private final AtomicBoolean borrowing = new AtomicBoolean();

    /** True while the client runs. */
    private volatile boolean running;

    /**
     * Creates a client that does not run yet.
     *
     * @param entryId the id of this entry, not null
     * @param connections the connections to the other entries by id, not null
     * @param directory what upstreams say, not null
     * @param admission knows how many requests wait, not null
     * @param desk gives out slots, not null
     * @param time the clock, not null
     */
    public GossipClient(
            String entryId,
            Map<String, ? extends Peer> connections,
            UpstreamDirectory directory,
            AdmissionController<SlotRequest> admission,
            SlotAllocator desk,
            TimeSource time) {
        this.entryId = entryId;
        this.directory = directory;
        this.admission = admission;
        this.desk = desk;
        this.time = time;
        connections.forEach((id, peer) -> peers.add(new PeerGossip(id, peer, time, this)));
    }

    /** Starts to ask. */
    public void start() {
        running = true;
        round();
    }

    /** Stops. */
    public void stop() {
        running = false;
    }

    /** Asks the peer with the least in flight for slots, unless one is being asked. */
    public void borrow() {
        if (!running || !borrowing.compareAndSet(false, true)) {
            return;
        }
        List<PeerGossip> byLoad = peers.stream()
                .filter(peer -> alive.containsKey(peer.id()))
                .sorted(Comparator.comparingInt(peer -> peerLoads.getOrDefault(peer.id(), 0)))
                .toList();
        for (PeerGossip peer : byLoad) {
            if (peer.ask(question(peer, true))) {
                return;
            }
        }
        borrowing.set(false);
    }

    /**
     * Tells a peer that it has got a slot back.
     *
     * @param peerId the id of the peer, not null
     */
    public void report(String peerId) {
        for (PeerGossip peer : peers) {
            if (running && peer.id().equals(peerId)) {
                peer.ask(question(peer, false));
            }
        }
    }

    @Override
    public void announced(AgedAnnouncement aged) {
        directory.acceptFromPeer(aged);
    }

    @Override
    public void counted(PeerGossip peer, GossipResponse response) {
        Map<UpstreamAddress, Integer> loads = SlotCounts.toLoads(response.getLoadsList());
        Map<UpstreamAddress, Integer> granted = SlotCounts.toSlots(response.getGrantedList());
        peerLoads.put(
                peer.id(), loads.values().stream().mapToInt(Integer::intValue).sum());
        int ownWaiting = admission.queuedCount();
        desk.withSlots(table -> {
            table.setPeerInFlight(peer.id(), loads);
            table.addBorrowed(peer.id(), granted);
            table.setPeerBacklogged(peer.id(), response.getWaiting() > ownWaiting);
            return granted.size();
        });
    }

    @Override
    public void malformed(String peer, NettleringException exception) {
        LOGGER.log(EntryEvent.ANNOUNCEMENT_REFUSED, peer, String.valueOf(exception.getMessage()));
    }

    @Override
    public void answered(PeerGossip peer, boolean successful) {
        borrowing.set(false);
    }

    private void round() {
        if (!running) {
            return;
        }
        settlePeers();
        boolean idle = admission.queuedCount() == 0;
        if (idle) {
            desk.withSlots(table -> {
                table.returnFreeSlots();
                return true;
            });
        }
        for (PeerGossip peer : peers) {
            peer.ask(question(peer, false));
        }
        time.schedule(INTERVAL, this::round);
    }

    private void settlePeers() {
        boolean changed = false;
        for (PeerGossip peer : peers) {
            boolean heard = peer.isHeardWithin(LOST_AFTER);
            boolean known = alive.containsKey(peer.id());
            if (heard == known) {
                continue;
            }
            changed = true;
            if (heard) {
                alive.put(peer.id(), true);
                LOGGER.log(EntryEvent.PEER_FOUND, peer.id());
            } else {
                alive.remove(peer.id());
                LOGGER.log(EntryEvent.PEER_LOST, peer.id());
            }
        }
        if (changed) {
            desk.withSlots(table -> {
                table.setEntries(alive.keySet());
                return true;
            });
        }
    }

    private GossipRequest.Builder question(PeerGossip peer, boolean borrows) {
        Map<String, Integer> waiting = borrows ? admission.queuedByService() : new HashMap<>();
        GossipRequest.Builder request =
                GossipRequest.newBuilder().setEntryId(entryId).setWaiting(admission.queuedCount());
        desk.withSlots(table -> {
            request.addAllLoads(SlotCounts.toLoadMessages(table.inFlightByInstance()));
            request.addAllHeld(SlotCounts.toMessages(table.borrowedFrom(peer.id())));
            return true;
        });
        waiting.forEach((service, count) ->
                request.addWanted(WantedSlots.newBuilder().setService(service).setSlots(count + SPARE_SLOTS)));
        return request;
    }
}
