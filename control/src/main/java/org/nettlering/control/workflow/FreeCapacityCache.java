package org.nettlering.control.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.placement.FreeCapacity;

/**
 * The rooms on hosts from one plan to the next.
 *
 * <p>Guarantees that a room is given out only as long as the host's commitments in the replicated state are those with which
 * it was measured; whoever changes anything else of a host has to say so. Not thread-safe.
 */
final class FreeCapacityCache {
    /** The rooms by the id of the host's life. */
    private final Map<String, CachedCapacity> cachedCapacities = new HashMap<>();

    FreeCapacityCache() {}

    /**
     * A room and the commitments with which it was measured.
     *
     * @param freeCapacity the room
     * @param allocations the commitments, or null if there were none
     * @param allocationChanges how often they had changed
     */
    private record CachedCapacity(
            FreeCapacity freeCapacity, @Nullable HostAllocations allocations, long allocationChanges) {
        // The same commitments: another object with the same runs may have changed in between.
        @SuppressWarnings("ReferenceEquality")
        boolean isValidFor(@Nullable HostAllocations current) {
            return allocations == current && (current == null || current.version() == allocationChanges);
        }
    }

    /** Returns the room on a host, measured anew only if it may have changed. */
    FreeCapacity freeCapacity(String hostId, @Nullable HostAllocations allocations, Supplier<FreeCapacity> compute) {
        CachedCapacity cached = cachedCapacities.get(hostId);
        if (cached != null
                && cached.isValidFor(allocations)
                && !cached.freeCapacity().hasPlannedStarts()) {
            return cached.freeCapacity();
        }
        FreeCapacity freeCapacity = compute.get();
        cachedCapacities.put(
                hostId, new CachedCapacity(freeCapacity, allocations, allocations == null ? 0 : allocations.version()));
        return freeCapacity;
    }

    /** Takes note that something else of a host has changed, or that it is gone. */
    void invalidate(String hostId) {
        cachedCapacities.remove(hostId);
    }
}
