package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.TreeMap;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
import org.nettlering.domain.interference.WorkerMeasurement;
import org.nettlering.domain.interference.WorkerMeasurement.MeasuredTask;
import org.nettlering.domain.power.PowerGovernor;
import org.nettlering.domain.profile.Profiles;
import org.nettlering.domain.quarantine.QuarantinePolicy;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.worker.WorkerReport;
import org.nettlering.domain.worker.WorkerReport.Usage;

/**
 * The planner that is used: scores workers by what a job would do to the services there, and corrects what turns out wrong.
 *
 * <p>In each round it quarantines workers, meets the cap, protects services, corrects commitments, gives speed back, and then
 * starts waiting jobs in the order of their rank, moved back by what their team already uses. Work is in proportion to what
 * changed and to what starts, not to the size of the site. Not thread-safe.
 */
public final class ScoredPlanner implements Planner {
    /** Starts in one round. */
    private static final int MAX_STARTS = 512;

    /** How long a group whose first job found no place is left alone. */
    private static final long RETRY_MILLIS = 500;

    /** How far a team that uses the whole site is moved back. */
    private static final long FAIR_SHARE_MILLIS = 600_000;

    /** The urgency that is noted when nobody claims power. */
    private static final int NOBODY = -1;

    /** How long a worker may be silent before it gets no new task: three report intervals. */
    private static final long SILENT_MILLIS = 3_000;

    /** Workers that are scored for one job. */
    private static final int CANDIDATES = 24;

    /** How lately a worker must have reported to take a job, where workers pull. */
    private static final long PULLING_MILLIS = 200;

    /** What is known of the site. */
    private final Site site;

    /** Starts jobs. */
    private final StartRule startRule;

    /** Makes room for jobs that cannot wait. */
    private final Preemption preemption;

    /** Corrects commitments. */
    private final Corrections corrections;

    /** Gives speed back. */
    private final SpeedUps speedUps;

    /** The highest urgency of the jobs within their profile's share that found no power in the last round. */
    private int claimingUrgency = NOBODY;

    /**
     * Returns a planner that has learned nothing yet.
     *
     * @return a new planner, never null
     */
    public static ScoredPlanner create() {
        return new ScoredPlanner(SILENT_MILLIS, CANDIDATES);
    }

    /**
     * Returns a planner that gives the first waiting job that fits to a worker that just reported, without comparing workers.
     *
     * <p>The way in which workers pull, for the comparison in docs/design/placement.md; not for use.
     *
     * @return the planner, never null
     */
    public static ScoredPlanner pulling() {
        return new ScoredPlanner(PULLING_MILLIS, 2);
    }

    private ScoredPlanner(long silentMillis, int candidates) {
        site = new Site(silentMillis);
        startRule = new StartRule(site, candidates);
        preemption = new Preemption(site);
        corrections = new Corrections(site);
        speedUps = new SpeedUps(site);
    }

    @Override
    public List<TaskCommand> plan(TaskState state, SiteConfiguration configuration, long nowMillis) {
        site.update(state, configuration, nowMillis);
        Round round = new Round(state, configuration, nowMillis);
        quarantine(round);
        checkRunnable(round);
        if (round.committedMilliwatts > round.capMilliwatts()) {
            round.isPowerLowered = true;
            round.commands.addAll(PowerGovernor.lower(
                    state,
                    configuration,
                    round.capMilliwatts(),
                    PowerGovernor.ANY_URGENCY,
                    "cap is exceeded",
                    nowMillis));
        }
        round.commands.addAll(site.guard.steps(state, configuration, nowMillis));
        corrections.plan(round);
        if (round.committedMilliwatts < round.capMilliwatts()) {
            start(round);
            speedUps.plan(round);
        }
        return round.commands;
    }

    @Override
    public void observe(TaskState state, WorkerReport report, long nowMillis) {
        site.heard(report.workerId(), nowMillis);
        Map<Long, List<Usage>> byMoment = new TreeMap<>();
        for (Usage usage : report.usage()) {
            byMoment.computeIfAbsent(usage.measuredMillis(), moment -> new ArrayList<>())
                    .add(usage);
        }
        byMoment.forEach((moment, usages) -> observe(state, report.workerId(), moment, usages));
    }

    private void observe(TaskState state, String workerId, long moment, List<Usage> usages) {
        List<MeasuredTask> services = new ArrayList<>();
        List<MeasuredTask> batch = new ArrayList<>();
        for (Usage usage : usages) {
            Optional<Task> known = state.task(usage.jobId()).filter(task -> task.epoch() == usage.epoch());
            if (known.isEmpty()) {
                continue;
            }
            Task task = known.get();
            MeasuredTask measured = new MeasuredTask(
                    usage.jobId(),
                    usage.epoch(),
                    task.job().workClass(),
                    usage.millicores(),
                    usage.slowdownThousandths());
            (task.job().serviceTask() ? services : batch).add(measured);
            boolean atFullSpeed = task.allocatedSpeedPercent() == Task.FULL_SPEED_PERCENT
                    && task.requestedSpeedPercent() == Task.FULL_SPEED_PERCENT;
            if (task.phase() == TaskPhase.RUNNING && atFullSpeed) {
                site.estimates.addUsage(
                        task.job().workClass(), usage.millicores(), usage.memoryMebibytes(), usage.milliwatts());
                corrections.observe(task, usage);
            }
        }
        learnInterference(workerId, new WorkerMeasurement(moment, services, batch));
    }

    private void learnInterference(String workerId, WorkerMeasurement measurement) {
        Map<String, Double> processors = new HashMap<>();
        for (MeasuredTask task : measurement.batch()) {
            processors.merge(task.workClass(), task.millicores() / 1000.0, Double::sum);
        }
        List<Neighbor> neighbors = processors.entrySet().stream()
                .map(entry -> new Neighbor(entry.getKey(), entry.getValue()))
                .toList();
        for (MeasuredTask service : measurement.services()) {
            if (service.slowdownThousandths() > 0) {
                site.model.learn(service.workClass(), service.slowdownThousandths(), neighbors);
            }
        }
        site.guard.observe(workerId, measurement);
    }

    private void quarantine(Round round) {
        round.commands.addAll(QuarantinePolicy.quarantineCommands(site.changedWorkers(), round.state, round.nowMillis));
    }

    private void checkRunnable(Round round) {
        for (Task task : site.unchecked) {
            JobSpecification job = task.job();
            Optional<String> reason = RunnableCheck.reason(
                    job,
                    startRule.size(job),
                    site.estimates.powerMilliwatts(job),
                    site.capacities(),
                    round.idleMilliwatts,
                    round.configuration);
            if (task.phase().isSchedulable()) {
                reason.ifPresent(
                        text -> round.commands.add(new TaskCommand.MarkUnrunnable(round.nowMillis, job.jobId(), text)));
            } else if (task.phase() == TaskPhase.UNRUNNABLE && reason.isEmpty()) {
                round.commands.add(new TaskCommand.MarkRunnable(
                        round.nowMillis, job.jobId(), "configuration, workers or learned size changed"));
            }
        }
        site.unchecked.clear();
    }

    private void start(Round round) {
        preemption.beginRound();
        int claimed = claimingUrgency;
        claimingUrgency = NOBODY;
        PriorityQueue<Cursor> cursors = new PriorityQueue<>(Comparator.comparingLong(Cursor::rank));
        for (WaitingJobs.Group group : site.waiting.groups()) {
            if (group.blockedUntilMillis <= round.nowMillis) {
                cursors.add(cursor(group.entries.first()));
            }
        }
        int starts = 0;
        while (!cursors.isEmpty() && starts < MAX_STARTS) {
            Cursor cursor = cursors.remove();
            Task task = cursor.entry().task();
            StartRule.Blocked blocked = startRule.tryStart(task, round, claimed);
            if (blocked != StartRule.Blocked.NOT_BLOCKED) {
                handleBlocked(task, blocked, round);
                cursor.entry().group().blockedUntilMillis = blockedUntil(task, round);
                continue;
            }
            starts++;
            WaitingJobs.Entry next = cursor.entry().group().entries.higher(cursor.entry());
            if (next != null) {
                cursors.add(cursor(next));
            }
        }
    }

    /** Urgent jobs are tried in every round, the others again after a while, so that a long queue costs little. */
    private static long blockedUntil(Task task, Round round) {
        boolean urgent = Profiles.urgency(round.configuration, task.job()) >= Preemption.URGENT;
        return urgent ? 0 : round.nowMillis + RETRY_MILLIS;
    }

    private void handleBlocked(Task task, StartRule.Blocked blocked, Round round) {
        Resources size = startRule.size(task.job());
        switch (blocked) {
            case POWER -> {
                if (startRule.isWithinShare(task.job(), round)) {
                    claimingUrgency = Math.max(claimingUrgency, Profiles.urgency(round.configuration, task.job()));
                }
                preemption.makePower(task, site.estimates.powerMilliwatts(task.job()), round);
            }
            case ROOM, SERVICES -> preemption.makeRoom(task, size, round);
            case QUOTA, NOT_BLOCKED -> {
                // Waits for its team's own tasks.
            }
        }
    }

    private Cursor cursor(WaitingJobs.Entry entry) {
        long penalty = (long) (FAIR_SHARE_MILLIS * shareOf(entry.task().job().team()));
        return new Cursor(entry.rank() + penalty, entry);
    }

    /** Returns the larger part of the site's processors and memory that a team uses. */
    private double shareOf(String team) {
        Resources used = site.placed.ofTeam(team);
        Resources whole = site.capacity();
        if (whole.millicores() == 0 || whole.memoryMebibytes() == 0) {
            return 0;
        }
        return Math.max(
                (double) used.millicores() / whole.millicores(),
                (double) used.memoryMebibytes() / whole.memoryMebibytes());
    }

    /** The next job of a group, and its rank after the team's use was counted. */
    private record Cursor(long rank, WaitingJobs.Entry entry) {}
}
