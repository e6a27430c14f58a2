package org.nettlering.standins.upstream;

import org.nettlering.wire.proto.RequestProto.Announcement;
import org.nettlering.wire.proto.RequestProto.UpstreamState;

/**
 * What an upstream stand-in says about itself.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service it belongs to
 * @param instance its name within the service
 * @param address where it listens, as {@code IP:PORT}
 * @param slots how many requests it runs at once
 * @param connections how many connections it accepts
 * @param failureDomain its failure domain
 * @param incarnation a number that is higher after each start
 */
public record UpstreamIdentity(
        String service,
        String instance,
        String address,
        int slots,
        int connections,
        String failureDomain,
        long incarnation) {
    /**
     * Returns the announcement to send.
     *
     * @param sequence the number of the announcement within the incarnation
     * @param state whether the upstream takes new requests, not null
     * @return the message, never null
     */
    public Announcement announcement(long sequence, UpstreamState state) {
        return Announcement.newBuilder()
                .setService(service)
                .setInstance(instance)
                .setAddress(address)
                .setSlots(slots)
                .setConnections(connections)
                .setFailureDomain(failureDomain)
                .setState(state)
                .setIncarnation(incarnation)
                .setSequence(sequence)
                .build();
    }
}
