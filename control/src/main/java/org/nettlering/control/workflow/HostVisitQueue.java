package org.nettlering.control.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The hosts at which something may be due: something came from them or was wanted of them, or the time for it has come.
 *
 * <p>Answers many hosts of which few matter at any moment. Orders and ends are taken apart, as ends have to wait while a
 * batch is on its way. Not thread-safe.
 */
final class HostVisitQueue {
    /** The hosts to look at for orders, by the id of their life. */
    private final Set<String> commandVisits = new LinkedHashSet<>();

    /** The hosts to look at for ends, by the id of their life. */
    private final Set<String> terminationVisits = new LinkedHashSet<>();

    /** When hosts are to be looked at, the earliest first; those that {@link #nextVisitNanos} does not name any more are void. */
    private final PriorityQueue<ScheduledVisit> schedule =
            new PriorityQueue<>((left, right) -> Long.signum(left.nanos() - right.nanos()));

    /** When each host is to be looked at next, by the id of its life. */
    private final Map<String, Long> nextVisitNanos = new HashMap<>();

    HostVisitQueue() {}

    /** When a host is to be looked at, by the monotonic clock. */
    private record ScheduledVisit(long nanos, String hostId) {}

    /** Has a host looked at. */
    void markDue(String hostId) {
        commandVisits.add(hostId);
        terminationVisits.add(hostId);
    }

    /** Has hosts looked at. */
    void markAllDue(Collection<String> hostIds) {
        commandVisits.addAll(hostIds);
        terminationVisits.addAll(hostIds);
    }

    /** Has a host looked at when a time has come. */
    void scheduleVisit(String hostId, long nanos) {
        Long scheduledNanos = nextVisitNanos.get(hostId);
        if (scheduledNanos == null || nanos - scheduledNanos < 0) {
            nextVisitNanos.put(hostId, nanos);
            schedule.add(new ScheduledVisit(nanos, hostId));
        }
    }

    /** Returns the hosts to look at for orders, and takes them as looked at. */
    List<String> drainCommandVisits(long nowNanos) {
        markElapsedDue(nowNanos);
        return drain(commandVisits);
    }

    /** Returns the hosts to look at for ends, and takes them as looked at. */
    List<String> drainTerminationVisits(long nowNanos) {
        markElapsedDue(nowNanos);
        return drain(terminationVisits);
    }

    private static List<String> drain(Set<String> hostIds) {
        List<String> drained = List.copyOf(hostIds);
        hostIds.clear();
        return drained;
    }

    private void markElapsedDue(long nowNanos) {
        while (!schedule.isEmpty() && nowNanos - schedule.element().nanos() >= 0) {
            ScheduledVisit due = schedule.remove();
            if (nextVisitNanos.remove(due.hostId(), due.nanos())) {
                markDue(due.hostId());
            }
        }
    }
}
