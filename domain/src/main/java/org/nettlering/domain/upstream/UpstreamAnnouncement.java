package org.nettlering.domain.upstream;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * What one instance of a service says about itself at one moment.
 *
 * <p>The incarnation grows with each start of the instance and the sequence with each announcement, so that of two
 * announcements the newer one is known whatever the order of their arrival. Immutable and thread-safe.
 *
 * @param service the name of the service, not empty
 * @param instance the name of the instance, unique within the service, not empty
 * @param address where it takes requests, not null
 * @param slots how many requests it runs at a time, from 1 to 1024
 * @param connections how many connections it accepts, at least the slots, at most 65536
 * @param failureDomain its failure domain, may be empty
 * @param state whether it takes new requests, not null
 * @param incarnation the start of the instance, at least zero
 * @param sequence the announcement within the incarnation, at least zero
 */
public record UpstreamAnnouncement(
        String service,
        String instance,
        UpstreamAddress address,
        int slots,
        int connections,
        String failureDomain,
        UpstreamState state,
        long incarnation,
        long sequence) {
    private static final int MAXIMUM_NAME_CHARACTERS = 128;
    private static final int MAXIMUM_SLOTS = 1_024;
    private static final int MAXIMUM_CONNECTIONS = 65_536;

    /**
     * Checks the parts.
     *
     * @throws NettleringException {@code INVALID_ARGUMENT} when a part is empty, too long or out of range
     */
    public UpstreamAnnouncement {
        requireName("service", service);
        requireName("instance", instance);
        require(failureDomain.length() <= MAXIMUM_NAME_CHARACTERS, "failure_domain is too long");
        require(slots >= 1 && slots <= MAXIMUM_SLOTS, "slots is " + slots + ", outside 1 to " + MAXIMUM_SLOTS);
        require(
                connections >= slots && connections <= MAXIMUM_CONNECTIONS,
                "connections is " + connections + ", outside the slots to " + MAXIMUM_CONNECTIONS);
        require(incarnation >= 0, "incarnation is negative");
        require(sequence >= 0, "sequence is negative");
    }

    private static void requireName(String field, String value) {
        require(!value.isEmpty(), field + " is empty");
        require(value.length() <= MAXIMUM_NAME_CHARACTERS, field + " is longer than " + MAXIMUM_NAME_CHARACTERS);
    }

    private static void require(boolean condition, String message) {
        if (!condition) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "announcement refused: " + message);
        }
    }

    /**
     * Tells whether this announcement was made after another one of the same instance.
     *
     * @param other the other announcement, not null
     * @return true when this one is strictly newer
     */
    public boolean isNewerThan(UpstreamAnnouncement other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }
}
