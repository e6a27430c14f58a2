package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TaskProgress;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.ColocationController;

/**
 * Plans which waiting tasks start now, and where.
 *
 * <p>Reads the state and the rooms that it is given and changes nothing else; the starts take effect once they are logged.
 * No plan goes beyond a host's capacity, and a gang starts as a whole or not at all. Immutable and thread-safe.
 */
public final class StartPlanner {
    /** The most starts of one plan, so that one entry of the log stays small. */
    private static final int MAX_STARTS = 400;

    /** The time, in milliseconds since 1970. */
    private final long nowMillis;

    /** Tells which steps may start. */
    private final Predicate<StepProgress> permitted;

    /** Chooses hosts. */
    private final HostSelector selector;

    /** The rooms; planned starts are taken off. */
    private final Collection<FreeCapacity> capacities;

    /** The rooms of each pool that was asked for. */
    private final Map<String, List<FreeCapacity>> capacitiesByPool = new HashMap<>();

    /** The demands for which there was no room in this plan. */
    private final List<StepSpecification> unplaceable = new ArrayList<>();

    /** The starts that were planned. */
    private final List<StartRun> starts = new ArrayList<>();

    /**
     * Plans starts.
     *
     * @param state the jobs, not null
     * @param capacities the room on each host that takes work; planned starts are taken off, not null
     * @param permitted tells which steps may start, not null
     * @param colocation what was learned of the images that share hosts, not null
     * @param throttled the runs that were slowed down where they are, not null
     * @param nowMillis the time, in milliseconds since 1970
     * @return the plan, never null
     */
    public static StartPlan plan(
            WorkflowState state,
            Collection<FreeCapacity> capacities,
            Predicate<StepProgress> permitted,
            ColocationController colocation,
            Collection<ThrottledRun> throttled,
            long nowMillis) {
        StartPlanner planner = new StartPlanner(capacities, permitted, colocation, nowMillis);
        planner.planAll(state.pendingSteps());
        List<ActiveRun> migrations = new MigrationPlanner(planner.selector, capacities).plan(throttled);
        return new StartPlan(planner.starts, migrations);
    }

    private StartPlanner(
            Collection<FreeCapacity> capacities,
            Predicate<StepProgress> permitted,
            ColocationController colocation,
            long nowMillis) {
        selector = new HostSelector(colocation);
        this.capacities = capacities;
        this.permitted = permitted;
        this.nowMillis = nowMillis;
    }

    private void planAll(Collection<StepProgress> pending) {
        if (capacities.isEmpty()) {
            return;
        }
        List<StepProgress> ordered = new ArrayList<>(pending);
        ordered.sort(new PendingStepOrder(nowMillis).comparator());
        for (StepProgress step : ordered) {
            if (starts.size() >= MAX_STARTS) {
                return;
            }
            if (permitted.test(step)) {
                planStep(step);
            }
        }
    }

    private void planStep(StepProgress step) {
        StepSpecification specification = step.specification();
        if (unplaceable.stream().anyMatch(failed -> requiresAtLeast(specification, failed))) {
            return;
        }
        List<FreeCapacity> candidates = candidatesIn(step.job().terms().pool());
        int[] taskIndexes = step.pendingTasks();
        String rack = specification.placementConstraints().dataRack();
        if (specification.has(StepTrait.RACK_LOCAL)) {
            String commonRack = selector.rackFor(step.id(), specification, taskIndexes.length, candidates);
            rack = commonRack == null ? rack : commonRack;
        }
        if (specification.has(StepTrait.GANG)) {
            planGang(step, taskIndexes, rack, candidates);
            return;
        }
        HostRanking ranking = new HostRanking(selector, step.id(), specification, rack, candidates);
        for (int index : taskIndexes) {
            Optional<FreeCapacity> capacity = ranking.allocateBest();
            if (capacity.isEmpty()) {
                recordUnplaceable(specification);
                return;
            }
            int runNumber = step.task(index).lastRunNumber() + 1;
            starts.add(newStart(step, index, runNumber, step.task(index).checkpoint(), capacity.get()));
        }
    }

    private List<FreeCapacity> candidatesIn(String pool) {
        return capacitiesByPool.computeIfAbsent(
                pool,
                wanted -> capacities.stream()
                        .filter(capacity -> capacity.pool().equals(wanted))
                        .toList());
    }

    /** Keeps a demand without room, unless it is its locality that may have left it without. */
    private void recordUnplaceable(StepSpecification specification) {
        if (specification.placementConstraints().equals(PlacementConstraints.NONE)) {
            unplaceable.add(specification);
        }
    }

    /** Tells whether tasks need no less of a host than others, for which there was no room. */
    private static boolean requiresAtLeast(StepSpecification wanted, StepSpecification failed) {
        return wanted.has(StepTrait.BEST_EFFORT) == failed.has(StepTrait.BEST_EFFORT)
                && wanted.serviceLevel().image().equals(failed.serviceLevel().image())
                && failed.demand().fitsIn(wanted.demand());
    }

    private void planGang(StepProgress step, int[] taskIndexes, String rack, List<FreeCapacity> candidates) {
        if (taskIndexes.length < step.specification().taskCount()) {
            return;
        }
        int runNumber = step.nextGangRunNumber();
        String checkpoint = newestCheckpoint(step);
        List<StartRun> members = new ArrayList<>();
        List<FreeCapacity> allocated = new ArrayList<>();
        StepId stepId = step.id();
        HostRanking ranking = new HostRanking(selector, stepId, step.specification(), rack, candidates);
        for (int index : taskIndexes) {
            Optional<FreeCapacity> capacity = ranking.allocateBest();
            if (capacity.isEmpty()) {
                allocated.forEach(each -> each.release(stepId, step.specification()));
                return;
            }
            allocated.add(capacity.get());
            members.add(newStart(step, index, runNumber, checkpoint, capacity.get()));
        }
        starts.addAll(members);
    }

    /** Returns the checkpoint of the member that started last: the members of a gang all carry the same one. */
    private static String newestCheckpoint(StepProgress step) {
        String newest = "";
        int newestRun = 0;
        for (int index = 0; index < step.specification().taskCount(); index++) {
            TaskProgress task = step.task(index);
            if (!task.checkpoint().isEmpty() && task.lastRunNumber() > newestRun) {
                newest = task.checkpoint();
                newestRun = task.lastRunNumber();
            }
        }
        return newest;
    }

    private static StartRun newStart(
            StepProgress step, int index, int runNumber, String checkpoint, FreeCapacity capacity) {
        RunId stepId = new RunId(new TaskId(step.id(), index), runNumber);
        return new StartRun(new ActiveRun(stepId, capacity.host(), checkpoint));
    }
}
