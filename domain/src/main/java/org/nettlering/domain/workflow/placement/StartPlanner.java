package org.nettlering.domain.workflow.placement;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TaskProgress;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * Plans which pending tasks start now, and on which hosts.
 *
 * <p>A plan never exceeds the capacity of a host, and a gang starts as a whole or not at all. Planning reads the
 * workflow state and changes only the given free capacities; the starts take effect when they are committed to the log.
 * No state is kept between plans.
 */
public final class StartPlanner {
    /** The limit for one plan, which keeps its log entry and the time until its commit small; only a gang exceeds it. */
    private static final int MAX_STARTS = 400;

    private final RunTimeModel runTimes;

    private final long nowMillis;

    private final Predicate<StepProgress> overdue;

    private final HostSelector selector;

    private final Collection<FreeCapacity> capacities;

    /** The indexed capacities of the pools that were needed so far. */
    private final Map<String, PoolCapacities> capacitiesByPool = new HashMap<>();

    private final UnschedulableDemands unschedulable = new UnschedulableDemands();

    /** Like {@link #unschedulable}, for overdue steps, which start wherever they may. */
    private final UnschedulableDemands unschedulableOverdue = UnschedulableDemands.ofAllocations();

    private final List<StartRun> starts = new ArrayList<>();

    private final Set<RunId> throttledStarts = new HashSet<>();

    /** The hosts that are left out after failures and may be tried. */
    private final List<FreeCapacity> lastResorts;

    /** The steps that no other host can take now, while there are hosts to be tried. */
    private final List<StepProgress> untaken = new ArrayList<>();

    private final TrialTurns turns;

    /** Whether a host is kept free of new runs, so that it admits a suspect soon. */
    private boolean hostReserved;

    /**
     * Plans starts and migrations.
     *
     * @param state the workflow state, not null
     * @param input what the plan is based on, not null
     * @return the plan, never null
     */
    public static StartPlan plan(WorkflowState state, PlanInput input) {
        StartPlanner planner = new StartPlanner(input);
        planner.planAll(state.pendingSteps());
        return new StartPlan(
                planner.starts,
                planner.planCopies(input.copies()),
                planner.planMigrations(input.relocations()),
                planner.planDrainMoves(input.relocations()),
                planner.throttledStarts);
    }

    private StartPlanner(PlanInput input) {
        selector = new HostSelector(input.colocation());
        capacities = input.capacities();
        lastResorts = capacities.stream().filter(FreeCapacity::isLastResort).toList();
        turns = input.turns();
        overdue = input.overdue();
        runTimes = input.runTimes();
        nowMillis = input.nowMillis();
    }

    private List<StartRun> planCopies(CopyCandidates copies) {
        return copies.stragglers().isEmpty()
                ? List.of()
                : new CopyPlanner(selector, capacities, this::candidatesIn, copies.copiedMillicores())
                        .plan(copies.stragglers());
    }

    private List<ActiveRun> planMigrations(RelocationCandidates relocations) {
        return relocations.throttled().isEmpty()
                ? List.of()
                : new MigrationPlanner(selector, capacities, this::candidatesIn).plan(relocations.throttled());
    }

    private List<ActiveRun> planDrainMoves(RelocationCandidates relocations) {
        return relocations.draining().isEmpty()
                ? List.of()
                : new DrainPlanner(selector, this::candidatesIn, relocations.atWork()).plan(relocations.draining());
    }

    private void planAll(Collection<StepProgress> pending) {
        if (capacities.isEmpty()) {
            return;
        }
        List<StepProgress> sorted = new PendingStepOrder(nowMillis, runTimes).sorted(pending);
        // First, as a suspect needs a host on which nothing else is about to start.
        sorted.stream().filter(StepProgress::hasSuspects).forEach(this::planSuspects);
        for (StepProgress step : sorted) {
            if (starts.size() >= MAX_STARTS) {
                return;
            }
            planStep(step);
        }
        untaken.sort(turns.order());
        untaken.forEach(this::tryLastResort);
    }

    private void planStep(StepProgress step) {
        int startsBefore = starts.size();
        if (!unschedulable.includes(step.job().terms().pool(), step.specification())) {
            planUnthrottled(step);
        }
        boolean hopeless = unschedulableOverdue.includes(step.job().terms().pool(), step.specification());
        if (starts.size() == startsBefore && !hopeless && overdue.test(step)) {
            planThrottled(step);
        }
        if (starts.size() == startsBefore && !lastResorts.isEmpty()) {
            untaken.add(step);
        }
    }

    /**
     * Starts one task that no other host can take, or a whole gang, on hosts that are left out after failures; a best-effort one at the
     * lowest speed.
     */
    private void tryLastResort(StepProgress step) {
        if (step.specification().has(StepTrait.GANG)) {
            tryGang(step);
            return;
        }
        int[] taskIndexes = harmlessTasks(step);
        if (taskIndexes.length == 0) {
            return;
        }
        hostsToTry(step).findFirst().ifPresent(capacity -> {
            selector.allocate(step.id(), step.specification(), capacity);
            addStart(nextStart(step, taskIndexes[0], capacity), isBestEffort(step));
        });
    }

    /** Returns the hosts on which a step may be tried, those with the fewest failures first. */
    private Stream<FreeCapacity> hostsToTry(StepProgress step) {
        return lastResorts.stream()
                .filter(capacity -> capacity.pool().equals(step.job().terms().pool()))
                .filter(capacity -> capacity.mayTry(step.id(), step.specification()))
                .sorted(Comparator.comparingInt(FreeCapacity::consecutiveFailures));
    }

    /** Starts a gang if the hosts on which it may be tried have room for all the members that no other host can take. */
    private void tryGang(StepProgress step) {
        int[] members = step.pendingTasks();
        if (members.length < step.specification().taskCount()) {
            return;
        }
        HostRanking ranking = rankingOf(step);
        List<FreeCapacity> places = new ArrayList<>();
        Optional<FreeCapacity> sound = ranking.allocateBest();
        while (sound.isPresent()) {
            places.add(sound.get());
            sound = places.size() < members.length ? ranking.allocateBest() : Optional.empty();
        }
        int soundPlaces = places.size();
        hostsToTry(step).forEach(capacity -> {
            int room = capacity.roomToTry(step.id(), step.specification(), members.length - places.size());
            places.addAll(Collections.nCopies(room, capacity));
        });
        if (places.size() < members.length) {
            ranking.releaseAll();
            return;
        }
        places.subList(soundPlaces, places.size())
                .forEach(capacity -> selector.allocate(step.id(), step.specification(), capacity));
        startGang(step, members, places, isBestEffort(step));
    }

    private void startGang(StepProgress step, int[] members, List<FreeCapacity> places, boolean throttled) {
        int runNumber = step.nextGangRunNumber();
        String checkpoint = newestCheckpoint(step);
        for (int position = 0; position < members.length; position++) {
            addStart(newStart(step, members[position], runNumber, checkpoint, places.get(position)), throttled);
        }
    }

    private static boolean isBestEffort(StepProgress step) {
        return step.specification().has(StepTrait.BEST_EFFORT);
    }

    private void addStart(StartRun start, boolean throttled) {
        starts.add(start);
        if (throttled) {
            throttledStarts.add(start.run().run());
        }
    }

    private void planUnthrottled(StepProgress step) {
        StepSpecification specification = step.specification();
        String pool = step.job().terms().pool();
        boolean isGang = specification.has(StepTrait.GANG);
        int[] taskIndexes = isGang ? step.pendingTasks() : harmlessTasks(step);
        HostRanking ranking = rankingOf(step);
        if (isGang) {
            planGang(step, taskIndexes, ranking);
            return;
        }
        for (int index : taskIndexes) {
            if (starts.size() >= MAX_STARTS) {
                return;
            }
            Optional<FreeCapacity> capacity = ranking.allocateBest();
            if (capacity.isEmpty()) {
                unschedulable.add(pool, specification);
                return;
            }
            starts.add(nextStart(step, index, capacity.get()));
        }
    }

    /** Ranks the hosts that suit a step. */
    private HostRanking rankingOf(StepProgress step) {
        PoolCapacities candidates = candidatesIn(step.job().terms().pool());
        return new HostRanking(selector, step.id(), step.specification(), preferredRack(step), candidates);
    }

    /** Returns the pending tasks that are not suspected of crashing their hosts. */
    private static int[] harmlessTasks(StepProgress step) {
        if (!step.hasSuspects()) {
            return step.pendingTasks();
        }
        return Arrays.stream(step.pendingTasks())
                .filter(index -> !step.task(index).isSuspect())
                .toArray();
    }

    /**
     * Starts the tasks that are suspected of crashing their hosts, each on a host on which no other run has just started and
     * which was in contact a moment ago: one that has crashed unnoticed would only renew the suspicion. Such a host starts nothing else until it has shown the task at work, so that a crash tells which task is the cause.
     * The members of a gang start together and cannot be told apart in this way.
     */
    private void planSuspects(StepProgress step) {
        if (step.specification().has(StepTrait.GANG)) {
            return;
        }
        for (int index : step.pendingTasks()) {
            if (step.task(index).isSuspect()) {
                planSuspect(step, index);
            }
        }
    }

    /** Starts a suspect, if a host admits it, and keeps a host free of new runs for one that has to wait. */
    private void planSuspect(StepProgress step, int index) {
        Predicate<FreeCapacity> admits = capacity -> capacity.admitsSuspects() && capacity.isInContact();
        Predicate<FreeCapacity> suits = capacity -> selector.isFeasible(step.id(), step.specification(), capacity);
        Predicate<FreeCapacity> allows = capacity -> capacity.mayStart(step.id(), step.specification());
        Optional<FreeCapacity> suitable = leastRunsAtStake(step, suits.and(admits));
        boolean throttled = suitable.isEmpty() && overdue.test(step);
        Optional<FreeCapacity> admitting = throttled ? leastRunsAtStake(step, allows.and(admits)) : suitable;
        if (admitting.isPresent()) {
            selector.allocateSuspect(step.id(), step.specification(), admitting.get());
            addStart(nextStart(step, index, admitting.get()), throttled);
        } else if (!hostReserved) {
            hostReserved = true;
            leastRunsAtStake(step, throttled ? allows : suits).ifPresent(FreeCapacity::close);
        }
    }

    /** Returns the host on which a crash would lose the fewest runs, of those that fulfil a condition. */
    private Optional<FreeCapacity> leastRunsAtStake(StepProgress step, Predicate<FreeCapacity> condition) {
        return capacities.stream()
                .filter(capacity -> capacity.pool().equals(step.job().terms().pool()))
                .filter(condition)
                .min(Comparator.comparingInt(FreeCapacity::runCount));
    }

    /**
     * Starts one task, or the whole gang, at the lowest speed on the hosts that it harms least, also where too few processors are
     * idle for it: it receives a part of those that the other runs leave.
     */
    private void planThrottled(StepProgress step) {
        int startsBefore = starts.size();
        boolean isGang = step.specification().has(StepTrait.GANG);
        int[] taskIndexes = isGang ? step.pendingTasks() : harmlessTasks(step);
        if (taskIndexes.length == 0) {
            return;
        }
        String pool = step.job().terms().pool();
        HostRanking ranking = HostRanking.ofAllowedHosts(
                selector, step.id(), step.specification(), preferredRack(step), candidatesIn(pool));
        if (ranking.best().isEmpty()) {
            unschedulableOverdue.add(pool, step.specification());
        } else if (isGang) {
            planGang(step, taskIndexes, ranking);
        } else {
            ranking.allocateBest().ifPresent(capacity -> starts.add(nextStart(step, taskIndexes[0], capacity)));
        }
        starts.subList(startsBefore, starts.size())
                .forEach(start -> throttledStarts.add(start.run().run()));
    }

    private String preferredRack(StepProgress step) {
        StepSpecification specification = step.specification();
        String dataRack = specification.placementConstraints().dataRack();
        if (!specification.has(StepTrait.RACK_LOCAL)) {
            return dataRack;
        }
        Collection<FreeCapacity> candidates =
                candidatesIn(step.job().terms().pool()).all();
        String commonRack = selector.rackFor(step.id(), specification, step.pendingCount(), candidates);
        return commonRack == null ? dataRack : commonRack;
    }

    private PoolCapacities candidatesIn(String pool) {
        return capacitiesByPool.computeIfAbsent(
                pool,
                requested -> PoolCapacities.of(capacities.stream()
                        .filter(capacity -> capacity.pool().equals(requested))
                        .toList()));
    }

    private void planGang(StepProgress step, int[] taskIndexes, HostRanking ranking) {
        if (taskIndexes.length < step.specification().taskCount()) {
            return;
        }
        List<FreeCapacity> places = new ArrayList<>();
        while (places.size() < taskIndexes.length) {
            Optional<FreeCapacity> capacity = ranking.allocateBest();
            if (capacity.isEmpty()) {
                ranking.releaseAll();
                return;
            }
            places.add(capacity.get());
        }
        startGang(step, taskIndexes, places, false);
    }

    /** Returns the checkpoint of the member with the latest run; all members of a gang start from the same one. */
    private static String newestCheckpoint(StepProgress step) {
        String newest = "";
        int newestRunNumber = 0;
        for (int index = 0; index < step.specification().taskCount(); index++) {
            TaskProgress task = step.task(index);
            if (!task.checkpoint().isEmpty() && task.lastRunNumber() > newestRunNumber) {
                newest = task.checkpoint();
                newestRunNumber = task.lastRunNumber();
            }
        }
        return newest;
    }

    private static StartRun nextStart(StepProgress step, int index, FreeCapacity capacity) {
        int runNumber = step.task(index).lastRunNumber() + 1;
        return newStart(step, index, runNumber, step.task(index).checkpoint(), capacity);
    }

    private static StartRun newStart(
            StepProgress step, int index, int runNumber, String checkpoint, FreeCapacity capacity) {
        RunId runId = new RunId(new TaskId(step.id(), index), runNumber);
        return new StartRun(new ActiveRun(runId, capacity.host(), checkpoint, capacity.hostStartMillis()));
    }
}
