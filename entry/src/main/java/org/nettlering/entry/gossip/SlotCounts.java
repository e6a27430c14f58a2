package org.nettlering.entry.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.upstream.UpstreamAddress;
import org.nettlering.wire.proto.RequestProto.SlotCount;
import org.nettlering.wire.proto.RequestProto.UpstreamLoad;

/** Converts slot counts and loads by upstream between messages and maps. */
final class SlotCounts {
    private SlotCounts() {}

    static Map<UpstreamAddress, Integer> toSlots(List<SlotCount> messages) {
        Map<UpstreamAddress, Integer> counts = new HashMap<>();
        for (SlotCount message : messages) {
            counts.put(UpstreamAddress.parse(message.getAddress()), message.getSlots());
        }
        return counts;
    }

    static List<SlotCount> toMessages(Map<UpstreamAddress, Integer> counts) {
        return counts.entrySet().stream()
                .map(entry -> SlotCount.newBuilder()
                        .setAddress(entry.getKey().toString())
                        .setSlots(entry.getValue())
                        .build())
                .toList();
    }

    static Map<UpstreamAddress, Integer> toLoads(List<UpstreamLoad> messages) {
        Map<UpstreamAddress, Integer> counts = new HashMap<>();
        for (UpstreamLoad message : messages) {
            counts.put(UpstreamAddress.parse(message.getAddress()), message.getInFlight());
        }
        return counts;
    }

    static List<UpstreamLoad> toLoadMessages(Map<UpstreamAddress, Integer> counts) {
        return counts.entrySet().stream()
                .map(entry -> UpstreamLoad.newBuilder()
                        .setAddress(entry.getKey().toString())
                        .setInFlight(entry.getValue())
                        .build())
                .toList();
    }
}
