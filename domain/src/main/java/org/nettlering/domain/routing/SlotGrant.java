package org.nettlering.domain.routing;

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
}
