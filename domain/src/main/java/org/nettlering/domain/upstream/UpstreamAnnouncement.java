package org.nettlering.domain.upstream;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;

/**
 * The state of one service instance as announced by the instance itself.
 *
 * <p>The incarnation increases with each start of the instance and the sequence with each announcement, so that the
 * newer of two announcements can be determined regardless of their order of arrival. Immutable and thread-safe.
 *
 * @param service the name of the service, not empty
 * @param instance the name of the instance, unique within the service, not empty
 * @param address the address at which the instance accepts requests, not null
 * @param slots how many requests the instance runs concurrently, from 1 to 1024
 * @param connections the limit on connections to the instance, at least the slots, at most 65536
 * @param failureDomain the failure domain of the instance, empty if it has none, not null
 * @param state whether the instance accepts new requests, not null
 * @param incarnation the incarnation of the instance, at least zero
 * @param sequence the sequence number of the announcement within the incarnation, at least zero
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
     * Validates the components.
     *
     * @throws NettleringException {@code INVALID_ARGUMENT} when a component is empty, too long or out of range
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
     * Returns whether this announcement was made after another one of the same instance.
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
