package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.power.PowerGovernor;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.Worker;

/**
 * Frees capacity for jobs that no worker can hold: evicts tasks for urgent jobs and reserves workers for starving ones.
 *
 * <p>Evicts only tasks of clearly lower urgency whose profile allows it, and on the worker where the least work is
 * lost. Not thread-safe.
 */
final class Preemption {
    /** The urgency from which a job may preempt others. */
    static final int URGENT_THRESHOLD = 80;

    /** Minimum difference in urgency between a preempting job and its victims. */
    private static final int MIN_URGENCY_GAP = 20;

    /** Time for a victim to write its checkpoint; the urgent job waits for it. */
    private static final long GRACE_MILLIS = 2_000;

    private static final long URGENT_RESERVATION_MILLIS = 8_000;

    /** Time after which a pending job counts as starving and gets a worker reserved. */
    private static final long STARVATION_MILLIS = 120_000;

    private static final long STARVATION_RESERVATION_MILLIS = 900_000;

    /** Number of workers per reservation for starving jobs, in addition to the first reservation. */
    private static final int WORKERS_PER_STARVATION_RESERVATION = 30;

    /** Maximum number of workers examined for one urgent job. */
    private static final int MAX_WORKERS_CHECKED = 64;

    private static final int MAX_PREEMPTIONS_PER_ROUND = 32;

    private static final int MAX_RESERVATIONS_PER_ROUND = 2;

    private final PlannerState plannerState;

    private int preemptionsInRound;

    private int reservationsInRound;

    /** Whether this round already reduced the draw of running tasks for an urgent job. */
    private boolean hasFreedPower;

    Preemption(PlannerState plannerState) {
        this.plannerState = plannerState;
    }

    void startRound() {
        preemptionsInRound = 0;
        hasFreedPower = false;
        reservationsInRound = 0;
    }

    /** Preempts tasks or reserves a worker for a job that no worker can hold, if the job is urgent or starving. */
    void freeCapacity(Task task, Resources request, PlanningRound round) {
        String jobId = task.job().jobId();
        if (plannerState.workerReservations.workerReservedFor(jobId).isPresent()) {
            return;
        }
        int urgency = Profiles.urgency(round.configuration, task.job());
        if (urgency >= URGENT_THRESHOLD && preemptionsInRound < MAX_PREEMPTIONS_PER_ROUND) {
            evictFor(task, request, urgency, round);
            return;
        }
        if (reservationsInRound == MAX_RESERVATIONS_PER_ROUND) {
            return;
        }
        int maxReservations = 1 + plannerState.slotCount() / WORKERS_PER_STARVATION_RESERVATION;
        if (round.nowMillis - task.phaseStartMillis() > STARVATION_MILLIS
                && plannerState.workerReservations.size() < maxReservations) {
            reservationsInRound++;
            reserveWorker(jobId, request, round);
        }
    }

    /** Throttles or evicts less urgent tasks for an urgent job that lacks power. */
    void freePower(Task task, long milliwatts, PlanningRound round) {
        int urgency = Profiles.urgency(round.configuration, task.job());
        if (urgency < URGENT_THRESHOLD || hasFreedPower) {
            return;
        }
        hasFreedPower = true;
        round.commands.addAll(PowerGovernor.reductionCommands(
                round.state,
                round.configuration,
                round.powerCapMilliwatts() - milliwatts,
                urgency - MIN_URGENCY_GAP + 1,
                "power for urgent job " + task.job().jobId(),
                round.nowMillis));
    }

    private void evictFor(Task urgentTask, Resources request, int urgency, PlanningRound round) {
        List<Task> cheapestVictims = null;
        Worker target = null;
        long lowestCost = Long.MAX_VALUE;
        int checked = 0;
        for (WorkerSlot slot : plannerState.slots()) {
            if (checked == MAX_WORKERS_CHECKED) {
                break;
            }
            boolean eligible = slot.worker.isLive()
                    && plannerState.hasRecentReport(slot.worker, round.nowMillis)
                    && slot.worker.quarantinedUntilMillis() <= round.nowMillis
                    && !slot.worker.isOnProbation()
                    && !plannerState.workerReservations.isReserved(slot.worker)
                    && !urgentTask.failedWorkerIds().contains(slot.worker.id())
                    && request.fitsIn(slot.worker.capacity());
            if (!eligible) {
                continue;
            }
            checked++;
            List<Task> victims = selectVictims(slot, request, urgency, round);
            long cost = victims == null ? Long.MAX_VALUE : lostWorkMillis(victims, round);
            if (cost < lowestCost) {
                lowestCost = cost;
                cheapestVictims = victims;
                target = slot.worker;
            }
        }
        if (cheapestVictims == null || target == null) {
            return;
        }
        preemptionsInRound++;
        plannerState.workerReservations.reserve(
                target, urgentTask.job().jobId(), round.nowMillis + URGENT_RESERVATION_MILLIS);
        for (Task task : cheapestVictims) {
            round.commands.add(new TaskCommand.Evict(
                    round.nowMillis,
                    task.job().jobId(),
                    task.epoch(),
                    GRACE_MILLIS,
                    "room for urgent job " + urgentTask.job().jobId(),
                    "urgency " + urgency + "; work since the last checkpoint " + lowestCost + " ms"));
        }
    }

    /** Returns the tasks to evict so that the request fits on a worker, or null if evictions do not suffice. */
    private static @Nullable List<Task> selectVictims(
            WorkerSlot slot, Resources request, int urgency, PlanningRound round) {
        List<Task> evictable = new ArrayList<>();
        Resources free = slot.free;
        for (Task task : slot.worker.tasks()) {
            if (task.phase() == TaskPhase.CHECKPOINTING || task.phase() == TaskPhase.CANCELLING) {
                free = free.plus(task.allocation());
                continue;
            }
            boolean lessUrgent = Profiles.urgency(round.configuration, task.job()) <= urgency - MIN_URGENCY_GAP;
            if (lessUrgent && Profiles.interruption(round.configuration, task.job()) == Interruption.EVICT) {
                evictable.add(task);
            }
        }
        evictable.sort(Comparator.comparingLong((Task task) -> unsavedWorkMillis(task, round.nowMillis))
                .thenComparing(task -> task.job().jobId()));
        List<Task> victims = new ArrayList<>();
        for (Task task : evictable) {
            if (request.fitsIn(free)) {
                break;
            }
            free = free.plus(task.allocation());
            victims.add(task);
        }
        return request.fitsIn(free) ? victims : null;
    }

    private void reserveWorker(String jobId, Resources request, PlanningRound round) {
        Worker emptiest = null;
        long mostFreeMillicores = -1;
        for (WorkerSlot slot : plannerState.slots()) {
            boolean eligible = slot.isIndexed()
                    && !plannerState.workerReservations.isReserved(slot.worker)
                    && request.fitsIn(slot.worker.capacity());
            if (eligible && slot.free.millicores() > mostFreeMillicores) {
                mostFreeMillicores = slot.free.millicores();
                emptiest = slot.worker;
            }
        }
        if (emptiest != null) {
            plannerState.workerReservations.reserve(emptiest, jobId, round.nowMillis + STARVATION_RESERVATION_MILLIS);
        }
    }

    private static long lostWorkMillis(List<Task> victims, PlanningRound round) {
        return victims.stream()
                .mapToLong(task -> unsavedWorkMillis(task, round.nowMillis))
                .sum();
    }

    private static long unsavedWorkMillis(Task task, long nowMillis) {
        return nowMillis - Math.max(task.startedMillis(), task.checkpointMillis());
    }
}
