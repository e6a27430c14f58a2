package org.nettlering.entry.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.nettlering.domain.admission.AdmissionController;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.routing.InstanceSlots;
import org.nettlering.domain.routing.SlotGrant;
import org.nettlering.domain.routing.SlotTable;
import org.nettlering.domain.upstream.DirectoryChanges;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.domain.upstream.UpstreamDirectory;
import org.nettlering.entry.upstreams.SlotAllocator;
import org.nettlering.entry.upstreams.SlotRequest;
import org.nettlering.wire.codec.AnnouncementCodec;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.GossipRequest;
import org.nettlering.wire.proto.RequestProto.GossipResponse;
import org.nettlering.wire.proto.RequestProto.WantedSlots;
import org.nettlering.wire.transport.FrameHandler;

/** Answers the other entries: what upstreams told this entry, what it has in flight, and which slots it lends. Thread-safe. */
public final class GossipService implements FrameHandler {
    private static final int MAXIMUM_WANTED_SLOTS = 1_024;

    /** The id of this entry. */
    private final String entryId;

    /** Differs at each start of the process. */
    private final long incarnation;

    /** What upstreams say. */
    private final UpstreamDirectory directory;

    /** Knows which instances serve a service. */
    private final AdmissionController<SlotRequest> admission;

    /** Gives out slots. */
    private final SlotAllocator slotAllocator;

    /**
     * Creates the service.
     *
     * @param entryId the id of this entry, not null
     * @param incarnation differs at each start of the process
     * @param directory what upstreams say, not null
     * @param admission knows which instances serve a service, not null
     * @param slotAllocator gives out slots, not null
     */
    public GossipService(
            String entryId,
            long incarnation,
            UpstreamDirectory directory,
            AdmissionController<SlotRequest> admission,
            SlotAllocator slotAllocator) {
        this.entryId = entryId;
        this.incarnation = incarnation;
        this.directory = directory;
        this.admission = admission;
        this.slotAllocator = slotAllocator;
    }

    @Override
    public CompletionStage<Frame> handleRequest(Frame request) {
        if (!request.hasGossipRequest()) {
            return CompletableFuture.failedStage(new NettleringException(
                    ErrorCode.INVALID_ARGUMENT, "an entry does not answer frames of kind " + request.getBodyCase()));
        }
        try {
            GossipResponse response = createResponse(request.getGossipRequest());
            return CompletableFuture.completedStage(
                    Frame.newBuilder().setGossipResponse(response).build());
        } catch (NettleringException exception) {
            return CompletableFuture.failedStage(exception);
        }
    }

    @Override
    public void handleMessage(Frame message) {
        // Entries exchange requests and responses only.
    }

    private GossipResponse createResponse(GossipRequest request) {
        Map<UpstreamAddress, Integer> peerLoads = SlotCounts.toLoads(request.getLoadsList());
        Map<UpstreamAddress, Integer> heldSlots = SlotCounts.toSlots(request.getHeldList());
        Map<String, List<UpstreamAddress>> instances = new HashMap<>();
        for (WantedSlots wanted : request.getWantedList()) {
            instances.put(wanted.getService(), admission.upstreamsOf(wanted.getService()));
        }
        int ownQueuedRequests = admission.queuedCount();
        LendResult slots = slotAllocator.withSlots(table -> {
            table.setPeerBacklogged(request.getEntryId(), request.getWaiting() > ownQueuedRequests);
            table.setPeerInFlight(request.getEntryId(), peerLoads);
            table.reconcileLoan(request.getEntryId(), request.getLastGrant(), heldSlots);
            return lend(table, request, instances);
        });
        DirectoryChanges changes =
                directory.changesSince(request.getKnownIncarnation() == incarnation ? request.getKnownVersion() : 0);
        GossipResponse.Builder response = GossipResponse.newBuilder()
                .setEntryId(entryId)
                .setIncarnation(incarnation)
                .setVersion(changes.version())
                .setWaiting(ownQueuedRequests)
                .addAllLoads(SlotCounts.toLoadMessages(slots.loads()))
                .addAllGranted(SlotCounts.toMessages(slots.grant().slots()))
                .setGrant(slots.grant().number());
        changes.announcements().forEach(aged -> response.addAnnouncements(AnnouncementCodec.toMessage(aged)));
        return response.build();
    }

    private static LendResult lend(
            SlotTable table, GossipRequest request, Map<String, List<UpstreamAddress>> instances) {
        SlotGrant grant = table.lend(request.getEntryId(), List.of(), 0);
        for (WantedSlots wanted : request.getWantedList()) {
            List<InstanceSlots> candidates = new ArrayList<>();
            for (UpstreamAddress address : instances.getOrDefault(wanted.getService(), List.of())) {
                InstanceSlots slots = table.find(address);
                if (slots != null) {
                    candidates.add(slots);
                }
            }
            SlotGrant serviceGrant =
                    table.lend(request.getEntryId(), candidates, Math.min(MAXIMUM_WANTED_SLOTS, wanted.getSlots()));
            grant = grant.plus(serviceGrant);
        }
        return new LendResult(table.inFlightByInstance(), grant);
    }

    private record LendResult(Map<UpstreamAddress, Integer> loads, SlotGrant grant) {}
}
