package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.power.PowerGovernor;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.WorkerReport.Usage;

/**
 * Adjusts the allocations of running tasks to their measured usage.
 *
 * <ul>
 *   <li>An allocation grows as soon as usage exceeds it. If the memory of the worker does not suffice, its least urgent
 *       evictable task is evicted.
 *   <li>An allocation shrinks once the class has a learned request that the allocation exceeds by far.
 * </ul>
 *
 * <p>Not thread-safe.
 */
final class AllocationResizer {
    private static final int MAX_RESIZES_PER_ROUND = 200;

    /** Margin added to measured usage, in percent. */
    private static final int MARGIN_PERCENT = 10;

    /** Size above which an allocation shrinks, in percent of the learned request. */
    private static final int SHRINK_THRESHOLD_PERCENT = 130;

    /** Minimum run time of a task before its allocation shrinks. */
    private static final long MIN_SHRINK_AGE_MILLIS = 30_000;

    /** Time for an evicted task to stop when the memory of its worker is exhausted. */
    private static final long GRACE_MILLIS = 3_000;

    private final PlannerState plannerState;

    /** Tasks whose allocation may have to change, with the measurement that showed it. */
    private final Map<Task, Usage> resizeCandidates = new LinkedHashMap<>();

    AllocationResizer(PlannerState plannerState) {
        this.plannerState = plannerState;
    }

    /** Processes a measurement of a running task at full speed. */
    void observe(Task task, Usage usage) {
        Resources allocation = task.allocation();
        boolean exceedsAllocation = usage.millicores() > allocation.millicores()
                || usage.memoryMebibytes() > allocation.memoryMebibytes()
                || usage.milliwatts() > task.fullPowerMilliwatts();
        if (exceedsAllocation) {
            resizeCandidates.put(task, usage);
            return;
        }
        boolean isOldEnough = usage.measuredMillis() - task.startedMillis() > MIN_SHRINK_AGE_MILLIS;
        if (isOldEnough
                && !task.job().serviceTask()
                && plannerState.estimates.hasLearnedResources(task.job().workClass())) {
            Resources learned = plannerState.estimates.resources(task.job());
            if (allocation.millicores() * 100 > learned.millicores() * SHRINK_THRESHOLD_PERCENT
                    || allocation.memoryMebibytes() * 100 > learned.memoryMebibytes() * SHRINK_THRESHOLD_PERCENT) {
                resizeCandidates.putIfAbsent(task, usage);
            }
        }
    }

    /** Adds the commands that resize allocations in this round. */
    void plan(PlanningRound round) {
        List<Task> processed = new ArrayList<>();
        for (Map.Entry<Task, Usage> entry : resizeCandidates.entrySet()) {
            if (processed.size() == MAX_RESIZES_PER_ROUND) {
                break;
            }
            processed.add(entry.getKey());
            resizeIfNeeded(entry.getKey(), entry.getValue(), round);
        }
        processed.forEach(resizeCandidates::remove);
    }

    private void resizeIfNeeded(Task task, Usage usage, PlanningRound round) {
        Worker worker = task.worker();
        if (worker == null || task.epoch() != usage.epoch() || task.phase() != TaskPhase.RUNNING) {
            return;
        }
        Resources targetAllocation = targetAllocation(task, usage);
        long milliwatts = Math.max(withMargin(usage.milliwatts()), plannerState.estimates.powerMilliwatts(task.job()));
        if (usage.milliwatts() <= task.fullPowerMilliwatts()) {
            milliwatts = Math.min(task.fullPowerMilliwatts(), milliwatts);
        }
        WorkerSlot slot = plannerState.slot(worker);
        if (slot == null) {
            return;
        }
        long additionalMilliwatts =
                Task.powerAtSpeed(milliwatts, task.allocatedSpeedPercent()) - task.allocatedMilliwatts();
        if (additionalMilliwatts > 0 && round.allocatedMilliwatts + additionalMilliwatts > round.powerCapMilliwatts()) {
            freePower(additionalMilliwatts, round);
            return;
        }
        Resources additional = targetAllocation.minus(task.allocation());
        if (additional.fitsIn(slot.free.max(Resources.NONE))) {
            round.commands.add(resizeCommand(task, targetAllocation, milliwatts, usage, round));
            round.allocatedMilliwatts += Math.max(0, additionalMilliwatts);
            plannerState.reduceFree(slot, additional.max(Resources.NONE));
            return;
        }
        if (usage.memoryMebibytes() > task.allocation().memoryMebibytes()) {
            evictForMemory(worker, round);
        }
    }

    /** Reduces the draw of running tasks if the cap leaves no power to raise the allocation of a task. */
    private static void freePower(long additionalMilliwatts, PlanningRound round) {
        if (!round.isPowerReductionRequested) {
            round.isPowerReductionRequested = true;
            round.commands.addAll(PowerGovernor.reductionCommands(
                    round.state,
                    round.configuration,
                    round.powerCapMilliwatts() - additionalMilliwatts,
                    PowerGovernor.ANY_URGENCY,
                    "a task draws more than was committed",
                    round.nowMillis));
        }
    }

    private Resources targetAllocation(Task task, Usage usage) {
        Resources used = Resources.of(
                withMargin(usage.millicores()),
                withMargin(usage.memoryMebibytes()),
                task.allocation().accelerators());
        Resources learned = plannerState.estimates.resources(task.job());
        boolean mustGrow = usage.millicores() > task.allocation().millicores()
                || usage.memoryMebibytes() > task.allocation().memoryMebibytes();
        if (mustGrow || task.job().serviceTask()) {
            return used.max(task.allocation());
        }
        return learned.max(used).min(task.allocation());
    }

    private static TaskCommand resizeCommand(
            Task task, Resources targetAllocation, long milliwatts, Usage usage, PlanningRound round) {
        return new TaskCommand.Resize(
                round.nowMillis,
                task.job().jobId(),
                task.epoch(),
                targetAllocation,
                milliwatts,
                "measured size",
                usage.millicores() + " millicores, " + usage.memoryMebibytes() + " MiB, " + usage.milliwatts() + " mW");
    }

    private static void evictForMemory(Worker worker, PlanningRound round) {
        Task victim = leastUrgentEvictable(worker, round);
        if (victim != null) {
            round.commands.add(new TaskCommand.Evict(
                    round.nowMillis,
                    victim.job().jobId(),
                    victim.epoch(),
                    GRACE_MILLIS,
                    "memory of the worker is used up",
                    "committed " + worker.allocated()));
        }
    }

    private static @Nullable Task leastUrgentEvictable(Worker worker, PlanningRound round) {
        Task victim = null;
        for (Task task : worker.tasks()) {
            boolean evictable = task.phase() == TaskPhase.RUNNING
                    && Profiles.interruption(round.configuration, task.job()) == Interruption.EVICT;
            if (evictable && (victim == null || isPreferredVictim(task, victim, round))) {
                victim = task;
            }
        }
        return victim;
    }

    private static boolean isPreferredVictim(Task task, Task other, PlanningRound round) {
        int urgency = Profiles.urgency(round.configuration, task.job());
        int otherUrgency = Profiles.urgency(round.configuration, other.job());
        return urgency < otherUrgency || (urgency == otherUrgency && task.startedMillis() > other.startedMillis());
    }

    private static long withMargin(long amount) {
        return Math.ceilDiv(amount * (100 + MARGIN_PERCENT), 100);
    }
}
