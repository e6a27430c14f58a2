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
final class DueHosts {
    /** The hosts to look at for orders, by the id of their life. */
    private final Set<String> orders = new LinkedHashSet<>();

    /** The hosts to look at for ends, by the id of their life. */
    private final Set<String> ends = new LinkedHashSet<>();

    /** When hosts are to be looked at, the earliest first; those that {@link #next} does not name any more are void. */
    private final PriorityQueue<Due> queue =
            new PriorityQueue<>((left, right) -> Long.signum(left.nanos() - right.nanos()));

    /** When each host is to be looked at next, by the id of its life. */
    private final Map<String, Long> next = new HashMap<>();

    DueHosts() {}

    /** When a host is to be looked at, by the monotonic clock. */
    private record Due(long nanos, String hostId) {}

    /** Has a host looked at. */
    void touch(String hostId) {
        orders.add(hostId);
        ends.add(hostId);
    }

    /** Has hosts looked at. */
    void touchAll(Collection<String> hostIds) {
        orders.addAll(hostIds);
        ends.addAll(hostIds);
    }

    /** Has a host looked at when a time has come. */
    void touchAt(String hostId, long nanos) {
        Long known = next.get(hostId);
        if (known == null || nanos - known < 0) {
            next.put(hostId, nanos);
            queue.add(new Due(nanos, hostId));
        }
    }

    /** Returns the hosts to look at for orders, and takes them as looked at. */
    List<String> takeForOrders(long nowNanos) {
        takeDue(nowNanos);
        return take(orders);
    }

    /** Returns the hosts to look at for ends, and takes them as looked at. */
    List<String> takeForEnds(long nowNanos) {
        takeDue(nowNanos);
        return take(ends);
    }

    private static List<String> take(Set<String> hostIds) {
        List<String> taken = List.copyOf(hostIds);
        hostIds.clear();
        return taken;
    }

    private void takeDue(long nowNanos) {
        while (!queue.isEmpty() && nowNanos - queue.element().nanos() >= 0) {
            Due due = queue.remove();
            if (next.remove(due.hostId(), due.nanos())) {
                touch(due.hostId());
            }
        }
    }
}
