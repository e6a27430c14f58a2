package org.nettlering.domain.workflow.host;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.domain.workflow.RunId;

/**
 * The runs that are active on a host but not tracked by the leader, which are stopped until the host no longer reports them.
 *
 * <p>Not thread-safe.
 */
final class OrphanedRuns {
    /** The monotonic time of the next stop command by run. */
    private final Map<RunId, Long> nextStopNanos = new HashMap<>();

    OrphanedRuns() {}

    boolean isEmpty() {
        return nextStopNanos.isEmpty();
    }

    /** Adds a run, whose stop falls due at once unless it is known already. */
    void add(RunId run, long nowNanos) {
        nextStopNanos.putIfAbsent(run, nowNanos);
    }

    void remove(RunId run) {
        nextStopNanos.remove(run);
    }

    /** Removes the runs that the host does not report any more. */
    void retain(Collection<RunId> reported) {
        nextStopNanos.keySet().retainAll(reported);
    }

    /** Returns the runs whose stop is due, and treats the stop of each as sent. */
    List<RunId> takeDueStops(long nowNanos) {
        List<RunId> due = new ArrayList<>();
        nextStopNanos.replaceAll((run, next) -> {
            if (nowNanos - next < 0) {
                return next;
            }
            due.add(run);
            return nowNanos + TrackedRun.STOP_RETRY_DELAY.toNanos();
        });
        return due;
    }

    /** Returns the monotonic time of the next stop of each run. */
    Collection<Long> nextStopNanos() {
        return List.copyOf(nextStopNanos.values());
    }
}
