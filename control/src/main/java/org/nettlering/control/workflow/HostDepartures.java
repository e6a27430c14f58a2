package org.nettlering.control.workflow;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * The hosts that announced their shutdown and whose runs are being stopped, with who waits for the last of them to end.
 *
 * <p>Each listener is notified once at most, when no run may be active on the host any more. Not thread-safe: used under the
 * lock of {@link WorkflowStateMachine}, so a listener only schedules what it has to do.
 */
final class HostDepartures {
    /** By the id of the host. */
    private final Map<String, List<Runnable>> listeners = new HashMap<>();

    HostDepartures() {}

    /** Notifies a listener once a host is reported to be empty. */
    void await(String hostId, Runnable listener) {
        listeners.computeIfAbsent(hostId, id -> new ArrayList<>()).add(listener);
    }

    /** Reports that no run may be active on a host. */
    void hostEmptied(String hostId) {
        List<Runnable> notified = listeners.remove(hostId);
        if (notified != null) {
            notified.forEach(Runnable::run);
        }
    }
}
