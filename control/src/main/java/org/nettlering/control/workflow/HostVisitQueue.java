package org.nettlering.control.workflow;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;

/**
 * The hosts that the leader's loop has to visit: their state changed, or the time scheduled for a visit has passed.
 *
 * <p>With many hosts only a few need attention at any moment, so the loop visits these instead of scanning all hosts. Visits
 * to send commands and visits to collect terminations are queued separately, because terminations are not collected while
 * a batch is in flight. Not thread-safe.
 */
final class HostVisitQueue {
    /** The incarnation ids of the hosts to check for due commands. */
    private final Set<String> commandVisits = new LinkedHashSet<>();

    /** The incarnation ids of the hosts to check for terminations. */
    private final Set<String> terminationVisits = new LinkedHashSet<>();

    /** The scheduled visits, the earliest first; a visit that differs from {@link #nextVisitNanos} is obsolete. */
    private final PriorityQueue<ScheduledVisit> schedule =
            new PriorityQueue<>((left, right) -> Long.signum(left.nanos() - right.nanos()));

    /** The monotonic time of the next scheduled visit, by the incarnation id of the host. */
    private final Map<String, Long> nextVisitNanos = new HashMap<>();

    HostVisitQueue() {}

    /** A visit to a host at a monotonic time. */
    private record ScheduledVisit(long nanos, String hostId) {}

    void markDue(String hostId) {
        commandVisits.add(hostId);
        terminationVisits.add(hostId);
    }

    void markAllDue(Collection<String> hostIds) {
        commandVisits.addAll(hostIds);
        terminationVisits.addAll(hostIds);
    }

    /** Schedules a visit at a monotonic time, unless an earlier one is scheduled for the host. */
    void scheduleVisit(String hostId, long nanos) {
        Long scheduledNanos = nextVisitNanos.get(hostId);
        if (scheduledNanos == null || nanos - scheduledNanos < 0) {
            nextVisitNanos.put(hostId, nanos);
            schedule.add(new ScheduledVisit(nanos, hostId));
        }
    }

    /** Removes and returns the hosts to check for due commands. */
    List<String> drainCommandVisits(long nowNanos) {
        markElapsedDue(nowNanos);
        return drain(commandVisits);
    }

    /** Removes and returns the hosts to check for terminations. */
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
