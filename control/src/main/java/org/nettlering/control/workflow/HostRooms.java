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
final class HostRooms {
    /** The rooms by the id of the host's life. */
    private final Map<String, Measured> rooms = new HashMap<>();

    HostRooms() {}

    /**
     * A room and the commitments with which it was measured.
     *
     * @param room the room
     * @param commitments the commitments, or null if there were none
     * @param changes how often they had changed
     */
    private record Measured(FreeCapacity room, @Nullable HostAllocations commitments, long changes) {
        // The same commitments: another object with the same runs may have changed in between.
        @SuppressWarnings("ReferenceEquality")
        boolean isOf(@Nullable HostAllocations present) {
            return commitments == present && (present == null || present.version() == changes);
        }
    }

    /** Returns the room on a host, measured anew only if it may have changed. */
    FreeCapacity room(String hostId, @Nullable HostAllocations commitments, Supplier<FreeCapacity> measure) {
        Measured known = rooms.get(hostId);
        if (known != null && known.isOf(commitments) && !known.room().hasPlannedStarts()) {
            return known.room();
        }
        FreeCapacity room = measure.get();
        rooms.put(hostId, new Measured(room, commitments, commitments == null ? 0 : commitments.version()));
        return room;
    }

    /** Takes note that something else of a host has changed, or that it is gone. */
    void forget(String hostId) {
        rooms.remove(hostId);
    }
}
