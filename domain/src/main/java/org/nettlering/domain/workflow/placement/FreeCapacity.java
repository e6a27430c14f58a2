package org.nettlering.domain.workflow.placement;

import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/**
 * The free capacity of one host while starts are planned.
 *
 * <p>Initially the capacity that the committed log leaves unallocated; each planned start reduces it. Not thread-safe.
 */
public final class FreeCapacity {
    /** The share of their allocated processors that latency-critical runs leave idle on average. */
    private static final int LATENCY_CRITICAL_IDLE_PERCENT = 50;

    private final HostHeartbeat heartbeat;

    private final int consecutiveFailures;

    private final HostAllocations allocations;

    /** The number of planned starts on this host by step. */
    private final Map<StepId, Integer> plannedTasks = new HashMap<>();

    /** The latest measurements of latency-critical runs on this host. */
    private final List<LatencyCriticalRun> latencyCriticalRuns;

    private Resources free;

    /** Whether a start was planned here, or none is to be. */
    private boolean changedByPlan;

    private boolean inContact = true;

    /** Whether the host is left out after failures, unless no other host can take a task. */
    private boolean lastResort;

    /** Which tasks may start, also with regard to the planned starts. */
    private StartAdmission admission;

    /** The latency pressure with the planned starts, null until it is needed. */
    private @Nullable HostLatencyPressure latencyPressure;

    /** The processors that best-effort runs demand; they are not allocated. */
    private long bestEffortMillicores;

    private int latencyCriticalCount;

    private long latencyCriticalMillicores;

    /** The number of latency-critical runs by image. */
    private final Map<String, Integer> latencyCriticalImages = new HashMap<>();

    /**
     * Returns the free capacity of a host.
     *
     * @param heartbeat the last heartbeat of the host, not null
     * @param allocations the allocations on the host in the committed log, not null
     * @param consecutiveFailures the number of consecutive run failures on the host, zero or more
     * @param latencyCriticalRuns the latest measurements of latency-critical runs on the host, not null
     * @param admission which tasks may start, not null
     * @return the free capacity, never null
     */
    public static FreeCapacity of(
            HostHeartbeat heartbeat,
            HostAllocations allocations,
            int consecutiveFailures,
            List<LatencyCriticalRun> latencyCriticalRuns,
            StartAdmission admission) {
        return new FreeCapacity(heartbeat, allocations, consecutiveFailures, latencyCriticalRuns, admission);
    }

    private FreeCapacity(
            HostHeartbeat heartbeat,
            HostAllocations allocations,
            int consecutiveFailures,
            List<LatencyCriticalRun> latencyCriticalRuns,
            StartAdmission admission) {
        this.admission = admission;
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
     * Returns whether starts were planned on the host, or were ruled out.
     *
     * <p>If so, this object differs from the free capacity of the host unless the planned starts take effect.
     *
     * @return true if capacity was allocated, even if it was released again
     */
    public boolean hasPlannedStarts() {
        return changedByPlan;
    }

    /** Returns what is neither allocated in the log nor planned. */
    Resources free() {
        return free;
    }

    /**
     * Returns the latency pressure on this host, with the costs as learned when this method was called first.
     *
     * <p>What has been learned since on other hosts affects only the starts that are planned.
     */
    HostLatencyPressure latencyPressure(PressureCosts costs) {
        HostLatencyPressure pressure = latencyPressure;
        if (pressure == null) {
            pressure = new HostLatencyPressure(costs, this);
            latencyPressure = pressure;
        }
        return pressure;
    }

    HostIncarnation host() {
        return heartbeat.host();
    }

    long hostStartMillis() {
        return heartbeat.startMillis();
    }

    String rack() {
        return heartbeat.rack();
    }

    String pool() {
        return heartbeat.pool();
    }

    /** Returns the processors of the host, allocated or not. */
    long totalMillicores() {
        return heartbeat.capacity().millicores();
    }

    /** Returns whether the host said in its last heartbeat that it is still slow after its start. */
    boolean isCold() {
        return heartbeat.coldLeftMillis() > 0;
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

    List<LatencyCriticalRun> latencyCriticalRuns() {
        return latencyCriticalRuns;
    }

    /** Returns whether a latency-critical run on this host has not been measured yet. */
    boolean hasUnmeasuredLatencyCritical() {
        return latencyCriticalCount > latencyCriticalRuns.size();
    }

    /** Returns the images of the latency-critical runs in the log or planned, measured or not. */
    Set<String> latencyCriticalImages() {
        return Collections.unmodifiableSet(latencyCriticalImages.keySet());
    }

    /** Returns the step of each best-effort run in the log, without planned ones. */
    List<StepSpecification> bestEffortSteps() {
        return allocations.specifications().stream()
                .filter(each -> each.has(StepTrait.BEST_EFFORT))
                .toList();
    }

    /**
     * Returns the processors that further best-effort runs may use, in millicores.
     *
     * <p>These are the unallocated processors plus those that latency-critical runs are assumed to leave idle, minus
     * the demand of the best-effort runs on the host.
     */
    long idleMillicores() {
        return free.millicores()
                + latencyCriticalMillicores * LATENCY_CRITICAL_IDLE_PERCENT / 100
                - bestEffortMillicores;
    }

    /** Returns whether one more task of a step may start here and would find the processors idle that it asks for. */
    boolean fits(StepId stepId, StepSpecification step) {
        return mayStart(stepId, step) && hasIdleProcessorsFor(step);
    }

    /**
     * Returns whether one more task of a step may start here: what is allocated to it is free, and its placement constraints
     * allow this host. A best-effort task has no processors allocated, so it may start however few are idle.
     */
    boolean mayStart(StepId stepId, StepSpecification step) {
        return !lastResort && isAllowed(stepId, step);
    }

    /**
     * Returns whether a task that no other host can take may be tried here, on a host that is left out after failures. One at a
     * time, so that a host which still fails all that it starts fails no more than that.
     */
    boolean mayTry(StepId stepId, StepSpecification step) {
        return lastResort && admission == StartAdmission.ALL && isAllowed(stepId, step);
    }

    /** Returns how many members of a gang may be tried here together, at most the given number. */
    int roomToTry(StepId stepId, StepSpecification step, int memberCount) {
        if (!mayTry(stepId, step)) {
            return 0;
        }
        int maxPerHost = step.placementConstraints().maxTasksPerHost();
        int allowed = maxPerHost == 0 ? memberCount : Math.min(memberCount, maxPerHost - allocations.countOf(stepId));
        int members = 0;
        Resources rest = free;
        while (members < allowed && step.allocation().fitsIn(rest)) {
            rest = rest.minus(step.allocation());
            members++;
        }
        return members;
    }

    private boolean isAllowed(StepId stepId, StepSpecification step) {
        int maxPerHost = step.placementConstraints().maxTasksPerHost();
        return admission != StartAdmission.NONE
                && step.allocation().fitsIn(free)
                && heartbeat.hasLabel(step.placementConstraints().requiredLabel())
                && (maxPerHost == 0 || allocations.countOf(stepId) + plannedTasks.getOrDefault(stepId, 0) < maxPerHost);
    }

    private boolean hasIdleProcessorsFor(StepSpecification step) {
        return !step.has(StepTrait.BEST_EFFORT) || step.demand().millicores() <= idleMillicores();
    }

    /**
     * Returns whether the host has room for one task of a step.
     *
     * @param pool the pool of the job, not null
     * @param step the step, not null
     * @return true if the host is of the pool and one task fits
     */
    public boolean hasRoomFor(String pool, StepSpecification step) {
        return !lastResort && pool().equals(pool) && step.allocation().fitsIn(free) && hasIdleProcessorsFor(step);
    }

    /** Returns whether a task that may crash its host may start. */
    boolean admitsSuspects() {
        return admission == StartAdmission.ALL;
    }

    /**
     * Records whether the host was in contact a moment ago, which changes without any change of the host.
     *
     * @param recent true if it was heard of so recently that it is hardly down
     */
    public void setInContact(boolean recent) {
        inContact = recent;
    }

    /**
     * Records whether the host is left out after failures, which changes without any change of the host.
     *
     * @param leftOut true if only a task is to be tried there that no other host can take
     */
    public void setLastResort(boolean leftOut) {
        lastResort = leftOut;
    }

    /** Returns whether the host is left out after failures, unless no other host can take a task. */
    boolean isLastResort() {
        return lastResort;
    }

    /** Returns whether the host was in contact a moment ago. */
    boolean isInContact() {
        return inContact;
    }

    /** Returns the number of runs that would be lost if the host crashed. */
    int runCount() {
        return allocations.runs().size();
    }

    /** Allocates capacity for a task that may crash its host, and lets nothing else start beside it. */
    void allocateSuspect(StepId stepId, StepSpecification step) {
        allocate(stepId, step);
        close();
    }

    /** Lets nothing start here in this plan. */
    void close() {
        admission = StartAdmission.NONE;
        changedByPlan = true;
    }

    void allocate(StepId stepId, StepSpecification step) {
        admission = admission == StartAdmission.ALL ? StartAdmission.NO_SUSPECTS : admission;
        free = free.minus(step.allocation());
        account(stepId, step, 1);
    }

    void release(StepId stepId, StepSpecification step) {
        free = free.plus(step.allocation());
        account(stepId, step, -1);
    }

    private void account(StepId stepId, StepSpecification step, int sign) {
        changedByPlan = true;
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
