package org.nettlering.domain.workflow.placement;

import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;

/**
 * The turns in which pending steps are tried on hosts that are left out after failures, as seen by one leader.
 *
 * <p>Such a host is tried with one step at a time, and a failure there excludes it again, whichever of the two is to blame. Guarantees
 * that no step, however often its tasks fail, keeps another one waiting for more than one trial: the step goes first that has waited
 * longest, where the wait of one that was tried begins only when the exclusion would be over that its failure causes. So whatever came
 * during that exclusion goes before it. Not thread-safe.
 */
public final class TrialTurns {
    /** The monotonic time since which each pending step waits for its next trial. */
    private final Map<StepId, Long> waitingSinceNanos = new HashMap<>();

    /**
     * Creates an empty record, in which all steps have the same turn.
     *
     * @return a new record, never null
     */
    public static TrialTurns create() {
        return new TrialTurns();
    }

    private TrialTurns() {}

    /**
     * Updates the turns before a plan, while a host is left out. A step that became pending waits since now, or as after a trial if it
     * has failed before.
     *
     * @param pending all pending steps, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void update(Collection<StepProgress> pending, long nowNanos) {
        Set<StepId> ids = new HashSet<>();
        for (StepProgress step : pending) {
            ids.add(step.id());
            waitingSinceNanos.computeIfAbsent(step.id(), id -> hasFailed(step) ? afterTrialNanos(nowNanos) : nowNanos);
        }
        waitingSinceNanos.keySet().retainAll(ids);
    }

    private static boolean hasFailed(StepProgress step) {
        return Arrays.stream(step.pendingTasks())
                .anyMatch(index -> step.task(index).failures() > 0);
    }

    private static long afterTrialNanos(long nowNanos) {
        return nowNanos + HostFailureBackoff.EXCLUSION.toNanos();
    }

    /**
     * Records that a task of a step is started, so that the step waits anew once a failure of it no longer excludes the host.
     *
     * @param step the id of the step, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void recordStart(StepId step, long nowNanos) {
        waitingSinceNanos.replace(step, afterTrialNanos(nowNanos));
    }

    /** Forgets all turns, while no host is left out. */
    public void clear() {
        waitingSinceNanos.clear();
    }

    /** Returns the order of turns, the longest wait first; it is consistent while the record does not change. */
    Comparator<StepProgress> order() {
        return (one, other) -> Long.compare(sinceNanos(one) - sinceNanos(other), 0);
    }

    private long sinceNanos(StepProgress step) {
        return waitingSinceNanos.getOrDefault(step.id(), 0L);
    }
}
