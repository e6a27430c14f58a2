package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Predicate;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.Team;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.Worker;

/** Selects a worker for one job and starts the job there. Not thread-safe. */
final class JobPlacer {
    /** Share of the power cap reserved for urgent jobs, which then start without waiting for others to throttle. */
    private static final int URGENT_RESERVE_PERCENT = 1;

    private final PlannerState plannerState;

    private final int maxCandidates;

    private final PlacementScore placementScore;

    JobPlacer(PlannerState plannerState, int maxCandidates) {
        this.plannerState = plannerState;
        this.maxCandidates = maxCandidates;
        this.placementScore = new PlacementScore(plannerState);
    }

    /** The reason why a job cannot start now. */
    enum BlockReason {
        /** The job was started. */
        NOT_BLOCKED,
        /** The quota of the team is used up, or the profile does not exist. */
        QUOTA,
        /** The power cap, or the power share of the profile, is exhausted. */
        POWER,
        /** No eligible worker has enough free capacity. */
        ROOM,
        /** On every worker with enough free capacity, the job would slow down a more urgent service too much. */
        SERVICES
    }

    /** Starts a job in this round if possible; otherwise returns what blocks it. */
    BlockReason tryStart(Task task, PlanningRound round, int powerStarvedUrgency) {
        JobSpecification job = task.job();
        Profile profile = Profiles.of(round.configuration, job).orElse(null);
        if (profile == null) {
            return BlockReason.QUOTA;
        }
        Resources request = resourceRequest(job);
        long milliwatts = plannerState.estimates.powerMilliwatts(job);
        if (!isWithinQuota(job, request, round)) {
            return BlockReason.QUOTA;
        }
        if (!hasPower(profile, milliwatts, round, powerStarvedUrgency)) {
            return BlockReason.POWER;
        }
        List<WorkerSlot> candidates = candidates(task, request, round.nowMillis);
        if (candidates.isEmpty()) {
            return BlockReason.ROOM;
        }
        WorkerSlot best = selectWorker(candidates, job, request, round);
        if (best == null) {
            return BlockReason.SERVICES;
        }
        start(task, best, profile, request, milliwatts, round);
        return BlockReason.NOT_BLOCKED;
    }

    /**
     * Returns the resources to allocate for a job.
     *
     * <p>Uses the learned request of the class, with two exceptions:
     * <ul>
     *   <li>A service gets at least what it declares, because its load may rise.
     *   <li>If the learned request fits no worker, the declared request applies, because the safety margin alone may make the
     *       learned one too large.
     * </ul>
     */
    Resources resourceRequest(JobSpecification job) {
        Resources estimated = plannerState.estimates.resources(job);
        Resources learned = plannerState.fitsAnyWorker(estimated) ? estimated : job.declaredResources();
        return job.serviceTask() ? learned.max(job.declaredResources()) : learned;
    }

    private static boolean fitsTeamQuota(Resources used, Resources request, Team team) {
        return used.plus(request).fitsIn(RunnableCheck.teamQuota(team));
    }

    private boolean isWithinQuota(JobSpecification job, Resources request, PlanningRound round) {
        Team team = round.configuration.teams().get(job.team());
        return team == null || fitsTeamQuota(plannerState.placedTasks.teamResources(job.team()), request, team);
    }

    /**
     * Checks whether the cap and the power share of the profile allow the additional draw.
     *
     * <p>A profile may exceed its share only with interruptible tasks, and only if it is more urgent than every job that
     * lacked power within its own share in the last round.
     */
    private boolean hasPower(Profile profile, long milliwatts, PlanningRound round, int powerStarvedUrgency) {
        long urgentReserveMilliwatts = profile.urgency() >= Preemption.URGENT_THRESHOLD
                ? 0
                : round.powerCapMilliwatts() * URGENT_RESERVE_PERCENT / 100;
        if (round.allocatedMilliwatts + milliwatts > round.powerCapMilliwatts() - urgentReserveMilliwatts) {
            return false;
        }
        return isWithinPowerShare(profile, milliwatts, round)
                || (profile.interruption() != Interruption.NEVER && profile.urgency() > powerStarvedUrgency);
    }

    private boolean isWithinPowerShare(Profile profile, long milliwatts, PlanningRound round) {
        long shareMilliwatts = round.taskBudgetMilliwatts() * profile.powerSharePercent() / 100;
        return plannerState.placedTasks.profileMilliwatts(profile.name()) + milliwatts <= shareMilliwatts;
    }

    /** Returns whether a job would stay within the power share of its profile. */
    boolean isWithinPowerShare(JobSpecification job, PlanningRound round) {
        return Profiles.of(round.configuration, job)
                .map(profile -> isWithinPowerShare(profile, plannerState.estimates.powerMilliwatts(job), round))
                .orElse(false);
    }

    private List<WorkerSlot> candidates(Task task, Resources request, long nowMillis) {
        String jobId = task.job().jobId();
        Optional<Worker> reserved = plannerState.workerReservations.workerReservedFor(jobId);
        if (reserved.isPresent()) {
            WorkerSlot slot = plannerState.slot(reserved.get());
            if (slot != null && slot.isIndexed() && request.fitsIn(slot.free)) {
                return List.of(slot);
            }
        }
        boolean avoidsFailedWorkers =
                !task.failedWorkerIds().isEmpty() && task.failedWorkerIds().size() < plannerState.slotCount();
        Predicate<WorkerSlot> eligible = slot -> plannerState.hasRecentReport(slot.worker, nowMillis)
                && !plannerState.workerReservations.isReservedForOtherJob(slot.worker, jobId)
                && !(avoidsFailedWorkers && task.failedWorkerIds().contains(slot.worker.id()));
        List<WorkerSlot> candidates = new ArrayList<>();
        if (request.accelerators() == 0) {
            candidates.addAll(plannerState.plainWorkers.candidates(request, maxCandidates, eligible));
        }
        if (candidates.isEmpty()) {
            candidates.addAll(plannerState.acceleratedWorkers.candidates(request, maxCandidates, eligible));
        }
        return candidates;
    }

    private @Nullable WorkerSlot selectWorker(
            List<WorkerSlot> candidates, JobSpecification job, Resources request, PlanningRound round) {
        WorkerSlot best = null;
        double lowestCost = Double.MAX_VALUE;
        for (WorkerSlot slot : candidates) {
            OptionalDouble cost = placementScore.costOf(slot, job, request, round.configuration);
            if (cost.isPresent() && cost.getAsDouble() < lowestCost) {
                lowestCost = cost.getAsDouble();
                best = slot;
            }
        }
        return best;
    }

    private void start(
            Task task, WorkerSlot slot, Profile profile, Resources request, long milliwatts, PlanningRound round) {
        JobSpecification job = task.job();
        String details = String.format(
                Locale.ROOT,
                "free %d millicores, %d MiB; draw %d of %d mW",
                slot.free.millicores(),
                slot.free.memoryMebibytes(),
                round.allocatedMilliwatts + milliwatts,
                round.powerCapMilliwatts());
        round.commands.add(new TaskCommand.Start(
                round.nowMillis,
                job.jobId(),
                slot.worker.id(),
                request,
                milliwatts,
                Task.FULL_SPEED_PERCENT,
                plannerState.estimates.hasLearnedResources(job.workClass())
                        ? "best score, learned size"
                        : "best score, declared size",
                details));
        round.allocatedMilliwatts += milliwatts;
        plannerState.reduceFree(slot, request);
        plannerState.assumeStart(job, profile.name(), request, milliwatts, slot);
        plannerState.workerReservations.release(job.jobId());
    }
}
