package org.nettlering.domain.workflow.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/**
 * The room on one host while starts are planned.
 *
 * <p>Begins with what the log commits and takes in each start that is planned. Not thread-safe.
 */
public final class FreeCapacity {
    /** The part of their processors that runs which serve leave unused on average, in percent. */
    private static final int LATENCY_CRITICAL_IDLE_PERCENT = 50;

    /** What the host told of itself. */
    private final HostHeartbeat heartbeat;

    /** How much the host is to be avoided; zero for a sound one. */
    private final int consecutiveFailures;

    /** What the log commits, or nothing. */
    private final HostAllocations allocations;

    /** How many tasks of each step were planned here. */
    private final Map<StepId, Integer> plannedTasks = new HashMap<>();

    /** The runs that serve here, as measured last. */
    private final List<LatencyCriticalRun> latencyCriticalRuns;

    /** What is not committed. */
    private Resources free;

    /** The processors that runs which only fill would use, in millicores. */
    private long bestEffortMillicores;

    /** How many runs serve users. */
    private int latencyCriticalCount;

    /** The processors that they commit, in millicores. */
    private long latencyCriticalMillicores;

    /** How many runs of each image serve users. */
    private final Map<String, Integer> latencyCriticalImages = new HashMap<>();

    /**
     * Measures the room on a host.
     *
     * @param heartbeat what the host told of itself, not null
     * @param allocations what the log commits there, not null
     * @param consecutiveFailures how much the host is to be avoided, zero for a sound one
     * @param latencyCriticalRuns the runs that serve here, as measured last, not null
     * @return the room, never null
     */
    public static FreeCapacity of(
            HostHeartbeat heartbeat,
            HostAllocations allocations,
            int consecutiveFailures,
            List<LatencyCriticalRun> latencyCriticalRuns) {
        return new FreeCapacity(heartbeat, allocations, consecutiveFailures, latencyCriticalRuns);
    }

    private FreeCapacity(
            HostHeartbeat heartbeat,
            HostAllocations allocations,
            int consecutiveFailures,
            List<LatencyCriticalRun> latencyCriticalRuns) {
        this.latencyCriticalRuns = List.copyOf(latencyCriticalRuns);
        this.heartbeat = heartbeat;
        this.consecutiveFailures = consecutiveFailures;
        this.allocations = allocations;
        free = heartbeat.capacity().minus(allocations.allocated());
        bestEffortMillicores = allocations.bestEffortMillicores();
        latencyCriticalCount = allocations.latencyCriticalCount();
        latencyCriticalMillicores = allocations.latencyCriticalMillicores();
        for (StepSpecification each : allocations.specifications()) {
            if (each.isLatencyCritical()) {
                latencyCriticalImages.merge(each.serviceLevel().image(), 1, Integer::sum);
            }
        }
    }

    /**
     * Tells whether starts were planned here, so that this is not the room on the host unless they take effect.
     *
     * @return true if room was taken, also if it was given back
     */
    public boolean hasPlannedStarts() {
        return !plannedTasks.isEmpty();
    }

    HostIncarnation host() {
        return heartbeat.host();
    }

    String rack() {
        return heartbeat.rack();
    }

    String pool() {
        return heartbeat.pool();
    }

    int consecutiveFailures() {
        return consecutiveFailures;
    }

    boolean hasLatencyCritical() {
        return latencyCriticalCount > 0 || !latencyCriticalRuns.isEmpty();
    }

    boolean hasBestEffort() {
        return bestEffortMillicores > 0;
    }

    /** Returns the runs that serve here, as measured last. */
    List<LatencyCriticalRun> latencyCriticalRuns() {
        return latencyCriticalRuns;
    }

    /** Tells whether one of the runs that serve here has not been measured yet. */
    boolean hasUnmeasuredLatencyCritical() {
        return latencyCriticalCount > latencyCriticalRuns.size();
    }

    /** Returns the images of the runs that serve here, measured or not. */
    Set<String> latencyCriticalImages() {
        return Collections.unmodifiableSet(latencyCriticalImages.keySet());
    }

    /** Returns what the runs are that fill here and are in the log. */
    List<StepSpecification> bestEffortSteps() {
        return allocations.specifications().stream()
                .filter(each -> each.has(StepTrait.BEST_EFFORT))
                .toList();
    }

    /**
     * Returns the processors that runs which fill may still use, in millicores: what is not committed, and what the runs
     * that serve leave of their commitment, less what others that fill would use.
     */
    long idleMillicores() {
        return free.millicores()
                + latencyCriticalMillicores * LATENCY_CRITICAL_IDLE_PERCENT / 100
                - bestEffortMillicores;
    }

    /** Tells whether one more task of a step fits and is allowed. */
    boolean fits(StepId stepId, StepSpecification step) {
        int maxPerHost = step.placementConstraints().maxTasksPerHost();
        return step.allocation().fitsIn(free)
                && heartbeat.hasLabel(step.placementConstraints().requiredLabel())
                && (maxPerHost == 0 || allocations.countOf(stepId) + plannedTasks.getOrDefault(stepId, 0) < maxPerHost)
                && (!step.has(StepTrait.BEST_EFFORT) || step.demand().millicores() <= idleMillicores());
    }

    void allocate(StepId stepId, StepSpecification step) {
        free = free.minus(step.allocation());
        account(stepId, step, 1);
    }

    void release(StepId stepId, StepSpecification step) {
        free = free.plus(step.allocation());
        account(stepId, step, -1);
    }

    private void account(StepId stepId, StepSpecification step, int sign) {
        plannedTasks.merge(stepId, sign, Integer::sum);
        if (step.has(StepTrait.BEST_EFFORT)) {
            bestEffortMillicores += sign * step.demand().millicores();
        }
        if (step.isLatencyCritical()) {
            latencyCriticalCount += sign;
            latencyCriticalMillicores += sign * step.demand().millicores();
            int remainingRuns = latencyCriticalImages.merge(step.serviceLevel().image(), sign, Integer::sum);
            if (remainingRuns == 0) {
                latencyCriticalImages.remove(step.serviceLevel().image());
            }
        }
    }
}
