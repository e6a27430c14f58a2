package org.nettlering.control.workflow;

import java.util.Collections;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.nettlering.domain.workflow.StepTrait;

/**
 * A step whose tasks are pending, and why hosts with room do not take them.
 *
 * <p>For logs only. The component names appear in the log. Immutable and thread-safe.
 *
 * @param pendingTasks the number of pending tasks
 * @param activeRuns the number of active runs of the step
 * @param demand the demand of one task, not null
 * @param traits the traits of the step, not null
 * @param hostsWithRoom the number of hosts of the pool with room for a task by the reason why they do not take one, not null
 */
record PendingDetails(
        int pendingTasks, int activeRuns, String demand, Set<StepTrait> traits, Map<String, Integer> hostsWithRoom) {
    /** Copies the collections, sorted. */
    PendingDetails {
        traits = Collections.unmodifiableSet(new TreeSet<>(traits));
        hostsWithRoom = Collections.unmodifiableMap(new TreeMap<>(hostsWithRoom));
    }
}
