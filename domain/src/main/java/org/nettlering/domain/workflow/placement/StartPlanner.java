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
import org.nettlering.domain.workflow.sharing.SharingGuard;

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
    private final HostChoice choice;

    /** The rooms; planned starts are taken off. */
    private final Collection<HostRoom> rooms;

    /** The rooms of each pool that was asked for. */
    private final Map<String, List<HostRoom>> roomsOfPools = new HashMap<>();

    /** The demands for which there was no room in this plan. */
    private final List<StepSpecification> withoutRoom = new ArrayList<>();

    /** The starts that were planned. */
    private final List<StartRun> starts = new ArrayList<>();

    /**
     * Plans starts.
     *
     * @param state the jobs, not null
     * @param rooms the room on each host that takes work; planned starts are taken off, not null
     * @param permitted tells which steps may start, not null
     * @param sharing what was learned of the images that share hosts, not null
     * @param heldBack the runs that were slowed down where they are, not null
     * @param nowMillis the time, in milliseconds since 1970
     * @return the plan, never null
     */
    public static StartPlan plan(
            WorkflowState state,
            Collection<HostRoom> rooms,
            Predicate<StepProgress> permitted,
            SharingGuard sharing,
            Collection<HeldBackRun> heldBack,
            long nowMillis) {
        StartPlanner planner = new StartPlanner(rooms, permitted, sharing, nowMillis);
        planner.planAll(state.pendingSteps());
        List<ActiveRun> moves = new MovePlanner(planner.choice, rooms).plan(heldBack);
        return new StartPlan(planner.starts, moves);
    }

    private StartPlanner(
            Collection<HostRoom> rooms, Predicate<StepProgress> permitted, SharingGuard sharing, long nowMillis) {
        choice = new HostChoice(sharing);
        this.rooms = rooms;
        this.permitted = permitted;
        this.nowMillis = nowMillis;
    }

    private void planAll(Collection<StepProgress> waiting) {
        if (rooms.isEmpty()) {
            return;
        }
        List<StepProgress> ordered = new ArrayList<>(waiting);
        ordered.sort(new WaitingOrder(nowMillis).comparator());
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
        if (withoutRoom.stream().anyMatch(failed -> needsNoLess(specification, failed))) {
            return;
        }
        List<HostRoom> candidates = candidatesIn(step.job().terms().pool());
        int[] tasks = step.pendingTasks();
        String rack = specification.placementConstraints().dataRack();
        if (specification.has(StepTrait.RACK_LOCAL)) {
            String common = choice.rackFor(step.id(), specification, tasks.length, candidates);
            rack = common == null ? rack : common;
        }
        if (specification.has(StepTrait.GANG)) {
            planGang(step, tasks, rack, candidates);
            return;
        }
        HostRanking ranking = new HostRanking(choice, step.id(), specification, rack, candidates);
        for (int index : tasks) {
            Optional<HostRoom> room = ranking.takeBest();
            if (room.isEmpty()) {
                noteWithoutRoom(specification);
                return;
            }
            int run = step.task(index).lastRunNumber() + 1;
            starts.add(start(step, index, run, step.task(index).checkpoint(), room.get()));
        }
    }

    private List<HostRoom> candidatesIn(String pool) {
        return roomsOfPools.computeIfAbsent(
                pool,
                wanted -> rooms.stream()
                        .filter(room -> room.pool().equals(wanted))
                        .toList());
    }

    /** Keeps a demand without room, unless it is its locality that may have left it without. */
    private void noteWithoutRoom(StepSpecification specification) {
        if (specification.placementConstraints().equals(PlacementConstraints.NONE)) {
            withoutRoom.add(specification);
        }
    }

    /** Tells whether tasks need no less of a host than others, for which there was no room. */
    private static boolean needsNoLess(StepSpecification wanted, StepSpecification failed) {
        return wanted.has(StepTrait.BEST_EFFORT) == failed.has(StepTrait.BEST_EFFORT)
                && wanted.serviceLevel().image().equals(failed.serviceLevel().image())
                && failed.demand().fitsIn(wanted.demand());
    }

    private void planGang(StepProgress step, int[] tasks, String rack, List<HostRoom> candidates) {
        if (tasks.length < step.specification().taskCount()) {
            return;
        }
        int run = step.nextGangRunNumber();
        String checkpoint = newestCheckpoint(step);
        List<StartRun> members = new ArrayList<>();
        List<HostRoom> taken = new ArrayList<>();
        StepId name = step.id();
        HostRanking ranking = new HostRanking(choice, name, step.specification(), rack, candidates);
        for (int index : tasks) {
            Optional<HostRoom> room = ranking.takeBest();
            if (room.isEmpty()) {
                taken.forEach(each -> each.giveBack(name, step.specification()));
                return;
            }
            taken.add(room.get());
            members.add(start(step, index, run, checkpoint, room.get()));
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

    private static StartRun start(StepProgress step, int index, int run, String checkpoint, HostRoom room) {
        RunId name = new RunId(new TaskId(step.id(), index), run);
        return new StartRun(new ActiveRun(name, room.host(), checkpoint));
    }
}
