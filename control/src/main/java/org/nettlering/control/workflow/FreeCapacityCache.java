package org.nettlering.control.workflow;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.placement.FreeCapacity;

/**
 * Caches the free capacity of hosts between plans.
 *
 * <p>Guarantees that a cached value is returned only while the allocations of the host in the replicated state are those it was
 * computed from. Any other change of a host must be followed by {@link #invalidate}. Not thread-safe.
 */
final class FreeCapacityCache {
    /** The cached values by the incarnation id of the host. */
    private final Map<String, CachedCapacity> cachedCapacities = new HashMap<>();

    FreeCapacityCache() {}

    /**
     * A free capacity and the allocations it was computed from.
     *
     * @param freeCapacity the free capacity
     * @param allocations the allocations, or null if the host had none
     * @param allocationsVersion the version of the allocations at that time
     */
    private record CachedCapacity(
            FreeCapacity freeCapacity, @Nullable HostAllocations allocations, long allocationsVersion) {
        // Compares by identity: another instance with the same version may have changed differently in between.
        @SuppressWarnings("ReferenceEquality")
        boolean isValidFor(@Nullable HostAllocations current) {
            return allocations == current && (current == null || current.version() == allocationsVersion);
        }
    }

    /** Returns the free capacity of a host; computes it only if it may have changed. */
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

    /** Discards the cached value of a host, after a change other than of its allocations or when it is removed. */
    void invalidate(String hostId) {
        cachedCapacities.remove(hostId);
    }
}
