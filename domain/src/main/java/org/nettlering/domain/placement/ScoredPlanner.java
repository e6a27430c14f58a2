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
 * Places each job on the worker with the lowest predicted cost, and corrects allocations by measured usage.
 *
 * <p>Each round performs these steps in order:
 * <ol>
 *   <li>quarantine failing workers;
 *   <li>mark jobs that can never run, or can run again;
 *   <li>reduce power draw above the cap;
 *   <li>throttle or evict batch tasks that slow down services;
 *   <li>resize allocations;
 *   <li>start pending jobs in order of rank, where the current usage of a team moves its jobs back;
 *   <li>raise the speed of throttled tasks.
 * </ol>
 *
 * <p>The cost of a round is proportional to the number of changes and starts, not to the size of the site. Not
 * thread-safe.
 */
public final class ScoredPlanner implements Planner {
    private static final int MAX_STARTS_PER_ROUND = 512;

    /** Time before a group is retried after its first job could not be placed. */
    private static final long GROUP_RETRY_MILLIS = 500;

    /** Time by which the rank of a job moves back if its team uses the whole site. */
    private static final long FAIR_SHARE_PENALTY_MILLIS = 600_000;

    /** The urgency when no job lacked power within its share. */
    private static final int NO_URGENCY = -1;

    /** Age of the last report beyond which a worker gets no new task: three report intervals. */
    private static final long MAX_REPORT_AGE_MILLIS = 3_000;

    /** Maximum number of workers scored for one job. */
    private static final int MAX_CANDIDATES = 24;

    /** Age of the last report beyond which a worker gets no new task from the pull-based planner. */
    private static final long PULL_MAX_REPORT_AGE_MILLIS = 200;

    private final PlannerState plannerState;

    private final JobPlacer jobPlacer;

    private final Preemption preemption;

    private final AllocationResizer allocationResizer;

    private final SpeedRestorer speedRestorer;

    /** The highest urgency of the jobs that lacked power within the share of their profile in the last round. */
    private int powerStarvedUrgency = NO_URGENCY;

    /**
     * Returns a new planner without learned estimates.
     *
     * @return the planner, never null
     */
    public static ScoredPlanner create() {
        return new ScoredPlanner(MAX_REPORT_AGE_MILLIS, MAX_CANDIDATES);
    }

    /**
     * Returns a planner that imitates workers pulling jobs: it gives the first pending job that fits to a worker that has
     * just reported, and compares at most two workers.
     *
     * <p>Exists only for the comparison in docs/design/placement.md; not for production use.
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
        List<MeasuredTask> batchTasks = new ArrayList<>();
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
            (task.job().serviceTask() ? services : batchTasks).add(measured);
            boolean atFullSpeed = task.allocatedSpeedPercent() == Task.FULL_SPEED_PERCENT
                    && task.requestedSpeedPercent() == Task.FULL_SPEED_PERCENT;
            if (task.phase() == TaskPhase.RUNNING && atFullSpeed) {
                plannerState.estimates.addUsage(
                        task.job().workClass(), usage.millicores(), usage.memoryMebibytes(), usage.milliwatts());
                allocationResizer.observe(task, usage);
            }
        }
        learnInterference(workerId, new WorkerMeasurement(measuredMillis, services, batchTasks));
    }

    private void learnInterference(String workerId, WorkerMeasurement measurement) {
        Map<String, Double> processorsByClass = new HashMap<>();
        for (MeasuredTask task : measurement.batch()) {
            processorsByClass.merge(task.workClass(), task.millicores() / 1000.0, Double::sum);
        }
        List<Neighbor> neighbors = processorsByClass.entrySet().stream()
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
                reason.ifPresent(message ->
                        round.commands.add(new TaskCommand.MarkUnrunnable(round.nowMillis, job.jobId(), message)));
            } else if (task.phase() == TaskPhase.UNRUNNABLE && reason.isEmpty()) {
                round.commands.add(new TaskCommand.MarkRunnable(
                        round.nowMillis, job.jobId(), "configuration, workers or learned size changed"));
            }
        }
        plannerState.tasksToCheck.clear();
    }

    private void start(PlanningRound round) {
        preemption.startRound();
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

    /** Returns when to retry a blocked group: urgent jobs in every round, others after a delay to limit the cost. */
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
                // Waits until tasks of its own team release quota.
            }
        }
    }

    private GroupCursor cursor(PendingJobs.Entry entry) {
        long penalty =
                (long) (FAIR_SHARE_PENALTY_MILLIS * teamShare(entry.task().job().team()));
        return new GroupCursor(entry.rank() + penalty, entry);
    }

    /** Returns the larger of a team's shares of the site's processors and memory. */
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

    /** The next job of a group, with its rank including the penalty for the usage of its team. */
    private record GroupCursor(long rank, PendingJobs.Entry entry) {}
}
