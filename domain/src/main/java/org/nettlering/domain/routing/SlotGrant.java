package org.nettlering.domain.routing;

import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.upstream.UpstreamAddress;

/**
 * Slots that one entry lends to another.
 *
 * <p>Immutable and thread-safe.
 *
 * @param number the number of the grant; the borrower repeats it in its reports
 * @param slots the slots of each instance, not null
 */
public record SlotGrant(long number, Map<UpstreamAddress, Integer> slots) {
    /** Copies the map. */
    public SlotGrant {
        slots = Map.copyOf(slots);
    }

    /**
     * Returns a copy with the slots of a later grant to the same borrower.
     *
     * @param later the later grant, not null
     * @return the copy with the later number, never null
     */
    public SlotGrant plus(SlotGrant later) {
        Map<UpstreamAddress, Integer> sum = new HashMap<>(slots);
        later.slots.forEach((address, count) -> sum.merge(address, count, Integer::sum));
        return new SlotGrant(later.number, sum);
    }
}
