package org.nettlering.domain.routing;

import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * Slots that one entry lends to another entry.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the grant, which the borrower returns in its reports
 * @param slots the number of slots by instance, not null
 */
public record SlotGrant(long number, Map<UpstreamAddress, Integer> slots) {
    /** Copies the map of slots. */
    public SlotGrant {
        slots = Map.copyOf(slots);
    }

    /**
     * Returns the sum of this grant and a later grant to the same borrower.
     *
     * @param later the later grant, not null
     * @return a grant with the slots of both and the number of the later one, never null
     */
    public SlotGrant plus(SlotGrant later) {
        Map<UpstreamAddress, Integer> sum = new HashMap<>(slots);
        later.slots.forEach((address, count) -> sum.merge(address, count, Integer::sum));
        return new SlotGrant(later.number, sum);
    }
}
