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
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
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
    private static final int MAX_STARTS_PER_ROUND = 512;

    /** How long a group whose first job found no place is left alone. */
    private static final long GROUP_RETRY_MILLIS = 500;

    /** How far a team that uses the whole site is moved back. */
    private static final long FAIR_SHARE_PENALTY_MILLIS = 600_000;

    /** The urgency that is noted when nobody claims power. */
    private static final int NO_URGENCY = -1;

    /** How long a worker may be silent before it gets no new task: three report intervals. */
    private static final long MAX_REPORT_AGE_MILLIS = 3_000;

    /** Workers that are scored for one job. */
    private static final int MAX_CANDIDATES = 24;

    /** How lately a worker must have reported to take a job, where workers pull. */
    private static final long PULL_MAX_REPORT_AGE_MILLIS = 200;

    /** What is known of the site. */
    private final PlannerState plannerState;

    /** Starts jobs. */
    private final JobPlacer jobPlacer;

    /** Makes room for jobs that cannot wait. */
    private final Preemption preemption;

    /** Corrects commitments. */
    private final AllocationResizer allocationResizer;

    /** Gives speed back. */
    private final SpeedRestorer speedRestorer;

    /** The highest urgency of the jobs within their profile's share that found no power in the last round. */
    private int powerStarvedUrgency = NO_URGENCY;

    /**
     * Returns a planner that has learned nothing yet.
     *
     * @return a new planner, never null
     */
    public static ScoredPlanner create() {
        return new ScoredPlanner(MAX_REPORT_AGE_MILLIS, MAX_CANDIDATES);
    }

    /**
     * Returns a planner that gives the first waiting job that fits to a worker that just reported, without comparing workers.
     *
     * <p>The way in which workers pull, for the comparison in docs/design/placement.md; not for use.
     *
     * @return the planner, never null
     */
    public static ScoredPlanner createPullBased() {
        return new ScoredPlanner(PULL_MAX_REPORT_AGE_MILLIS, 2);
    }

    private ScoredPlanner(long maxReportAgeMillis, int maxCandidates) {
        plannerState = new PlannerState(maxReportAgeMillis);
        jobPlacer = new JobPlacer(plannerState, maxCandidates);
        preemption = new Preemption(plannerState);
        allocationResizer = new AllocationResizer(plannerState);
        speedRestorer = new SpeedRestorer(plannerState);
    }

    @Override
    public List<TaskCommand> plan(TaskState state, SiteConfiguration configuration, long nowMillis) {
        plannerState.update(state, configuration, nowMillis);
        PlanningRound round = new PlanningRound(state, configuration, nowMillis);
        quarantine(round);
        checkRunnable(round);
        if (round.allocatedMilliwatts > round.powerCapMilliwatts()) {
            round.isPowerReductionRequested = true;
            round.commands.addAll(PowerGovernor.reductionCommands(
                    state,
                    configuration,
                    round.powerCapMilliwatts(),
                    PowerGovernor.ANY_URGENCY,
                    "cap is exceeded",
                    nowMillis));
        }
        round.commands.addAll(plannerState.interferenceController.decideActions(state, configuration, nowMillis));
        allocationResizer.plan(round);
        if (round.allocatedMilliwatts < round.powerCapMilliwatts()) {
            start(round);
            speedRestorer.plan(round);
        }
        return round.commands;
    }

    @Override
    public void observe(TaskState state, WorkerReport report, long nowMillis) {
        plannerState.recordReport(report.workerId(), nowMillis);
        Map<Long, List<Usage>> usagesByTime = new TreeMap<>();
        for (Usage usage : report.usage()) {
            usagesByTime
                    .computeIfAbsent(usage.measuredMillis(), measuredMillis -> new ArrayList<>())
                    .add(usage);
        }
        usagesByTime.forEach((measuredMillis, usages) -> observe(state, report.workerId(), measuredMillis, usages));
    }

    private void observe(TaskState state, String workerId, long measuredMillis, List<Usage> usages) {
        List<MeasuredTask> services = new ArrayList<>();
        List<MeasuredTask> batch = new ArrayList<>();
        for (Usage usage : usages) {
            Optional<Task> matchingTask = state.task(usage.jobId()).filter(task -> task.epoch() == usage.epoch());
            if (matchingTask.isEmpty()) {
                continue;
            }
            Task task = matchingTask.get();
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
                plannerState.estimates.addUsage(
                        task.job().workClass(), usage.millicores(), usage.memoryMebibytes(), usage.milliwatts());
                allocationResizer.observe(task, usage);
            }
        }
        learnInterference(workerId, new WorkerMeasurement(measuredMillis, services, batch));
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
                plannerState.interferenceModel.learn(service.workClass(), service.slowdownThousandths(), neighbors);
            }
        }
        plannerState.interferenceController.recordMeasurement(workerId, measurement);
    }

    private void quarantine(PlanningRound round) {
        round.commands.addAll(
                QuarantinePolicy.quarantineCommands(plannerState.changedWorkers(), round.state, round.nowMillis));
    }

    private void checkRunnable(PlanningRound round) {
        for (Task task : plannerState.tasksToCheck) {
            JobSpecification job = task.job();
            Optional<String> reason = RunnableCheck.unrunnableReason(
                    job,
                    jobPlacer.resourceRequest(job),
                    plannerState.estimates.powerMilliwatts(job),
                    plannerState.distinctCapacities(),
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
        plannerState.tasksToCheck.clear();
    }

    private void start(PlanningRound round) {
        preemption.beginRound();
        int previousStarvedUrgency = powerStarvedUrgency;
        powerStarvedUrgency = NO_URGENCY;
        PriorityQueue<GroupCursor> cursors = new PriorityQueue<>(Comparator.comparingLong(GroupCursor::rank));
        for (PendingJobs.Group group : plannerState.pendingJobs.groups()) {
            if (group.blockedUntilMillis <= round.nowMillis) {
                cursors.add(cursor(group.entries.first()));
            }
        }
        int starts = 0;
        while (!cursors.isEmpty() && starts < MAX_STARTS_PER_ROUND) {
            GroupCursor cursor = cursors.remove();
            Task task = cursor.entry().task();
            JobPlacer.BlockReason blockReason = jobPlacer.tryStart(task, round, previousStarvedUrgency);
            if (blockReason != JobPlacer.BlockReason.NOT_BLOCKED) {
                handleBlocked(task, blockReason, round);
                cursor.entry().group().blockedUntilMillis = blockedUntil(task, round);
                continue;
            }
            starts++;
            PendingJobs.Entry next = cursor.entry().group().entries.higher(cursor.entry());
            if (next != null) {
                cursors.add(cursor(next));
            }
        }
    }

    /** Urgent jobs are tried in every round, the others again after a while, so that a long queue costs little. */
    private static long blockedUntil(Task task, PlanningRound round) {
        boolean urgent = Profiles.urgency(round.configuration, task.job()) >= Preemption.URGENT_THRESHOLD;
        return urgent ? 0 : round.nowMillis + GROUP_RETRY_MILLIS;
    }

    private void handleBlocked(Task task, JobPlacer.BlockReason blockReason, PlanningRound round) {
        Resources request = jobPlacer.resourceRequest(task.job());
        switch (blockReason) {
            case POWER -> {
                if (jobPlacer.isWithinPowerShare(task.job(), round)) {
                    powerStarvedUrgency =
                            Math.max(powerStarvedUrgency, Profiles.urgency(round.configuration, task.job()));
                }
                preemption.freePower(task, plannerState.estimates.powerMilliwatts(task.job()), round);
            }
            case ROOM, SERVICES -> preemption.freeCapacity(task, request, round);
            case QUOTA, NOT_BLOCKED -> {
                // Waits for its team's own tasks.
            }
        }
    }

    private GroupCursor cursor(PendingJobs.Entry entry) {
        long penalty =
                (long) (FAIR_SHARE_PENALTY_MILLIS * teamShare(entry.task().job().team()));
        return new GroupCursor(entry.rank() + penalty, entry);
    }

    /** Returns the larger part of the site's processors and memory that a team uses. */
    private double teamShare(String team) {
        Resources used = plannerState.placedTasks.teamResources(team);
        Resources siteCapacity = plannerState.liveCapacity();
        if (siteCapacity.millicores() == 0 || siteCapacity.memoryMebibytes() == 0) {
            return 0;
        }
        return Math.max(
                (double) used.millicores() / siteCapacity.millicores(),
                (double) used.memoryMebibytes() / siteCapacity.memoryMebibytes());
    }

    /** The next job of a group, and its rank after the team's use was counted. */
    private record GroupCursor(long rank, PendingJobs.Entry entry) {}
}
