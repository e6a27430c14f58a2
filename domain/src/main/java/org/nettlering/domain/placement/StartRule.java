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

/** Tries to find a worker for one job. Not thread-safe. */
final class StartRule {
    /** The part of the cap that only urgent jobs may use, so that they need not wait until others draw less. */
    private static final int URGENT_RESERVE_PERCENT = 1;

    /** What is known of the site. */
    private final Site site;

    /** Workers that are scored for one job. */
    private final int maxCandidates;

    /** Scores workers. */
    private final PlacementScore score;

    StartRule(Site site, int maxCandidates) {
        this.site = site;
        this.maxCandidates = maxCandidates;
        this.score = new PlacementScore(site);
    }

    /** Why a job cannot start now. */
    enum Blocked {
        /** It can start. */
        NOT_BLOCKED,
        /** Its team has used up its quota. */
        QUOTA,
        /** The cap or the profile's share leaves no power. */
        POWER,
        /** No worker has room. */
        ROOM,
        /** Wherever there is room it would disturb a more urgent service. */
        SERVICES
    }

    /** Starts a job in this round if it can, and says what stands in its way if not. */
    Blocked tryStart(Task task, Round round, int claimingUrgency) {
        JobSpecification job = task.job();
        Profile profile = Profiles.of(round.configuration, job).orElse(null);
        if (profile == null) {
            return Blocked.QUOTA;
        }
        Resources size = size(job);
        long milliwatts = site.estimates.powerMilliwatts(job);
        if (!isWithinQuota(job, size, round)) {
            return Blocked.QUOTA;
        }
        if (!hasPower(profile, milliwatts, round, claimingUrgency)) {
            return Blocked.POWER;
        }
        List<WorkerSlot> candidates = candidates(task, size, round.nowMillis);
        if (candidates.isEmpty()) {
            return Blocked.ROOM;
        }
        WorkerSlot best = best(candidates, job, size, round);
        if (best == null) {
            return Blocked.SERVICES;
        }
        start(task, best, profile, size, milliwatts, round);
        return Blocked.NOT_BLOCKED;
    }

    /**
     * Returns what to commit for a job.
     *
     * <p>A service never gets less than it declared, because its load may rise. A learned size beyond every worker is not used,
     * because the margin alone may be what is too much.
     */
    Resources size(JobSpecification job) {
        Resources measured = site.estimates.resources(job);
        Resources learned = site.hasWorkerFor(measured) ? measured : job.declaredResources();
        return job.serviceTask() ? learned.max(job.declaredResources()) : learned;
    }

    private static boolean isWithinTeam(Resources used, Resources size, Team team) {
        return used.plus(size).fitsIn(RunnableCheck.quota(team));
    }

    private boolean isWithinQuota(JobSpecification job, Resources size, Round round) {
        Team team = round.configuration.teams().get(job.team());
        return team == null || isWithinTeam(site.placed.ofTeam(job.team()), size, team);
    }

    /** A profile may go beyond its share only with tasks that can be slowed down again, and if none as urgent claims it. */
    private boolean hasPower(Profile profile, long milliwatts, Round round, int claimingUrgency) {
        long reserve =
                profile.urgency() >= Preemption.URGENT ? 0 : round.capMilliwatts() * URGENT_RESERVE_PERCENT / 100;
        if (round.committedMilliwatts + milliwatts > round.capMilliwatts() - reserve) {
            return false;
        }
        return isWithinShare(profile, milliwatts, round)
                || (profile.interruption() != Interruption.NEVER && profile.urgency() > claimingUrgency);
    }

    private boolean isWithinShare(Profile profile, long milliwatts, Round round) {
        long share = round.taskBudgetMilliwatts() * profile.powerSharePercent() / 100;
        return site.placed.milliwattsOf(profile.name()) + milliwatts <= share;
    }

    /** Tells whether a job would stay within the share of its profile. */
    boolean isWithinShare(JobSpecification job, Round round) {
        return Profiles.of(round.configuration, job)
                .map(profile -> isWithinShare(profile, site.estimates.powerMilliwatts(job), round))
                .orElse(false);
    }

    private List<WorkerSlot> candidates(Task task, Resources size, long nowMillis) {
        String jobId = task.job().jobId();
        Optional<Worker> claimed = site.claims.of(jobId);
        if (claimed.isPresent()) {
            WorkerSlot slot = site.slot(claimed.get());
            if (slot != null && slot.isOffered() && size.fitsIn(slot.free)) {
                return List.of(slot);
            }
        }
        boolean avoids =
                !task.failedWorkerIds().isEmpty() && task.failedWorkerIds().size() < site.slotCount();
        Predicate<WorkerSlot> accepted = slot -> site.isHeard(slot.worker, nowMillis)
                && !site.claims.isKeptFromJob(slot.worker, jobId)
                && !(avoids && task.failedWorkerIds().contains(slot.worker.id()));
        List<WorkerSlot> found = new ArrayList<>();
        if (size.accelerators() == 0) {
            found.addAll(site.plainWorkers.candidates(size, maxCandidates, accepted));
        }
        if (found.isEmpty()) {
            found.addAll(site.acceleratedWorkers.candidates(size, maxCandidates, accepted));
        }
        return found;
    }

    private @Nullable WorkerSlot best(List<WorkerSlot> candidates, JobSpecification job, Resources size, Round round) {
        WorkerSlot best = null;
        double lowest = Double.MAX_VALUE;
        for (WorkerSlot slot : candidates) {
            OptionalDouble cost = score.of(slot, job, size, round.configuration);
            if (cost.isPresent() && cost.getAsDouble() < lowest) {
                lowest = cost.getAsDouble();
                best = slot;
            }
        }
        return best;
    }

    private void start(Task task, WorkerSlot slot, Profile profile, Resources size, long milliwatts, Round round) {
        JobSpecification job = task.job();
        String figures = String.format(
                Locale.ROOT,
                "free %d millicores, %d MiB; draw %d of %d mW",
                slot.free.millicores(),
                slot.free.memoryMebibytes(),
                round.committedMilliwatts + milliwatts,
                round.capMilliwatts());
        round.commands.add(new TaskCommand.Start(
                round.nowMillis,
                job.jobId(),
                slot.worker.id(),
                size,
                milliwatts,
                Task.FULL_SPEED_PERCENT,
                site.estimates.hasLearnedResources(job.workClass())
                        ? "best score, learned size"
                        : "best score, declared size",
                figures));
        round.committedMilliwatts += milliwatts;
        site.take(slot, size);
        site.reserve(job, profile.name(), size, milliwatts, slot);
        site.claims.release(job.jobId());
    }
}
