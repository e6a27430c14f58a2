package org.nettlering.domain.workflow.placement;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.nettlering.domain.workflow.Job;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;

/**
 * How long the pending best-effort steps that are not to be held back without bound have waited, as seen by one leader.
 *
 * <p>Latency targets and busy processors may hold a best-effort step back on every host for as long as the load of the services
 * lasts. After {@link #MAX_WAIT} it counts as overdue: a step of a job without any active run, and a step of long-running tasks,
 * of which each has to run, whether others of its job run or not. Not thread-safe.
 */
public final class StepWaits {
    /** How long pending best-effort tasks may wait that no active run of their job stands in for. */
    public static final Duration MAX_WAIT = Duration.ofMillis(1_500);

    /** The monotonic time since which each step has waited. */
    private Map<StepId, Long> waitingSinceNanos = new HashMap<>();

    /**
     * Creates an empty record of waits.
     *
     * @return a new record, never null
     */
    public static StepWaits create() {
        return new StepWaits();
    }

    private StepWaits() {}

    /**
     * Updates the waits before a plan. Steps that are not held back any more start anew.
     *
     * @param pending all pending steps, not null
     * @param nowNanos the monotonic time in nanoseconds
     */
    public void update(Collection<StepProgress> pending, long nowNanos) {
        Map<StepId, Long> updated = new HashMap<>();
        // A job may have a thousand pending steps, each of which would look at all steps of the job.
        Map<String, Boolean> idleJobs = new HashMap<>();
        for (StepProgress step : pending) {
            if (step.specification().has(StepTrait.BEST_EFFORT)
                    && (step.specification().has(StepTrait.LONG_RUNNING)
                            || idleJobs.computeIfAbsent(step.job().id(), jobId -> isIdle(step.job())))) {
                updated.put(step.id(), waitingSinceNanos.getOrDefault(step.id(), nowNanos));
            }
        }
        waitingSinceNanos = updated;
    }

    private static boolean isIdle(Job job) {
        return job.steps().stream().allMatch(step -> step.activeRunCount() == 0);
    }

    /**
     * Returns whether a step has waited too long.
     *
     * @param step a step, not null
     * @param nowNanos the monotonic time in nanoseconds
     * @return true if it has waited for at least {@link #MAX_WAIT} as of the last update
     */
    public boolean isOverdue(StepProgress step, long nowNanos) {
        Long sinceNanos = waitingSinceNanos.get(step.id());
        return sinceNanos != null && nowNanos - sinceNanos >= MAX_WAIT.toNanos();
    }
}
