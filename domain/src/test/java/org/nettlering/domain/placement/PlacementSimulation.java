package org.nettlering.domain.placement;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.TerminationReason;
import org.nettlering.domain.worker.WorkerCommand;
import org.nettlering.domain.worker.WorkerReport;
import org.nettlering.domain.worker.WorkerReportReconciler;

/** Simulates workers that execute every command immediately; each step advances the clock by one second. */
public final class PlacementSimulation {
    private final TaskState state = TaskState.empty();
    private final Planner planner;
    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private final Set<String> failingJobs = new HashSet<>();
    private final List<TaskCommand> issuedCommands = new ArrayList<>();
    private SiteConfiguration configuration;
    private long nowMillis = 1_000_000;

    public PlacementSimulation(Planner planner, SiteConfiguration configuration) {
        this.planner = planner;
        this.configuration = configuration;
    }

    public void configure(SiteConfiguration newConfiguration) {
        configuration = newConfiguration;
    }

    public void addWorker(String id, String rack, Resources capacity) {
        FakeWorker worker = new FakeWorker(id, rack, capacity);
        workers.put(id, worker);
        report(worker);
    }

    /** Changes the capacity that a worker registers with its next report. */
    public void setCapacity(String workerId, Resources capacity) {
        worker(workerId).capacity = capacity;
    }

    public void failAllTasksOn(String workerId) {
        worker(workerId).failsAllTasks = true;
    }

    public void failJobEverywhere(String jobId) {
        failingJobs.add(jobId);
    }

    /** Partitions a worker from the leader; its lease has not expired. */
    public void partitionWorker(String workerId) {
        worker(workerId).partitioned = true;
    }

    /** Terminates a worker with its tasks, after its lease and the clock drift bound have passed. */
    public void loseWorker(String workerId) {
        worker(workerId).partitioned = true;
        worker(workerId).running.clear();
        apply(new TaskCommand.MarkWorkerLost(
                nowMillis, workerId, state.worker(workerId).orElseThrow().session()));
    }

    public void submit(JobSpecification job) {
        apply(new TaskCommand.Submit(nowMillis, "submit " + job.jobId(), job));
    }

    public void cancel(String jobId) {
        apply(new TaskCommand.Cancel(nowMillis, "cancel " + jobId, jobId));
    }

    public void complete(String jobId) {
        for (FakeWorker worker : workers.values()) {
            WorkerReport.Running task = worker.running.remove(jobId);
            if (task != null) {
                worker.terminated.add(
                        new WorkerReport.Terminated(jobId, task.epoch(), TerminationReason.COMPLETED, 0, ""));
            }
        }
    }

    public void measure(String workerId, List<WorkerReport.Usage> usage) {
        worker(workerId).usage.addAll(usage);
    }

    public void steps(int count) {
        for (int step = 0; step < count; step++) {
            step();
        }
    }

    public void step() {
        nowMillis += 1_000;
        workers.values().forEach(this::report);
        plan();
        workers.values().forEach(this::report);
    }

    /** Plans once and applies the commands. */
    public List<TaskCommand> plan() {
        List<TaskCommand> commands = planner.plan(state, configuration, nowMillis);
        issuedCommands.addAll(commands);
        commands.forEach(this::apply);
        return commands;
    }

    public List<TaskCommand> issuedCommands() {
        return issuedCommands;
    }

    public TaskState state() {
        return state;
    }

    public SiteConfiguration configuration() {
        return configuration;
    }

    public long nowMillis() {
        return nowMillis;
    }

    public Task task(String jobId) {
        return state.task(jobId).orElseThrow();
    }

    public TaskPhase phase(String jobId) {
        return task(jobId).phase();
    }

    public long runningCopies(String jobId) {
        return workers.values().stream()
                .filter(worker -> worker.running.containsKey(jobId))
                .count();
    }

    private void apply(TaskCommand command) {
        state.apply(command, configuration.powerCapMilliwatts());
    }

    private FakeWorker worker(String workerId) {
        return Objects.requireNonNull(workers.get(workerId));
    }

    private void report(FakeWorker worker) {
        if (worker.partitioned) {
            return;
        }
        WorkerReport report = worker.report();
        WorkerReportReconciler.commandsToPropose(state, report, nowMillis).forEach(this::apply);
        planner.observe(state, report, nowMillis);
        if (WorkerReportReconciler.needsRegistration(state.worker(worker.id).orElseThrow(), report)) {
            return;
        }
        WorkerReportReconciler.commandsForWorker(state, report, nowMillis)
                .forEach(command -> worker.execute(command, this));
    }

    /** A worker that executes commands immediately. */
    private static final class FakeWorker {
        private final String id;
        private final String rack;
        private Resources capacity;
        private final Map<String, WorkerReport.Running> running = new LinkedHashMap<>();
        private final List<WorkerReport.Terminated> terminated = new ArrayList<>();
        private final List<WorkerReport.Usage> usage = new ArrayList<>();
        private boolean failsAllTasks;
        private boolean partitioned;
        private long sequence;

        private FakeWorker(String id, String rack, Resources capacity) {
            this.id = id;
            this.rack = rack;
            this.capacity = capacity;
        }

        private WorkerReport report() {
            List<WorkerReport.Usage> reportedUsage = List.copyOf(usage);
            usage.clear();
            return new WorkerReport(
                    id,
                    1,
                    ++sequence,
                    capacity,
                    rack,
                    "domain",
                    0,
                    List.copyOf(running.values()),
                    List.copyOf(terminated),
                    reportedUsage);
        }

        private void execute(WorkerCommand command, PlacementSimulation simulation) {
            switch (command) {
                case WorkerCommand.Start start -> start(start, simulation);
                case WorkerCommand.Checkpoint checkpoint ->
                    running.computeIfPresent(
                            checkpoint.jobId(),
                            (job, task) -> new WorkerReport.Running(
                                    job, task.epoch(), task.throttleVersion(), task.checkpoint() + 1));
                case WorkerCommand.Throttle throttle ->
                    running.computeIfPresent(
                            throttle.jobId(),
                            (job, task) -> new WorkerReport.Running(
                                    job, task.epoch(), throttle.throttleVersion(), task.checkpoint()));
                case WorkerCommand.Stop stop -> {
                    WorkerReport.Running task = running.remove(stop.jobId());
                    long checkpoint = task == null ? 0 : task.checkpoint();
                    terminated.add(new WorkerReport.Terminated(
                            stop.jobId(), stop.epoch(), TerminationReason.STOPPED, checkpoint, ""));
                }
                case WorkerCommand.Acknowledge acknowledge ->
                    terminated.removeIf(
                            task -> task.jobId().equals(acknowledge.jobId()) && task.epoch() == acknowledge.epoch());
            }
        }

        private void start(WorkerCommand.Start start, PlacementSimulation simulation) {
            String jobId = start.job().jobId();
            if (failsAllTasks || simulation.failingJobs.contains(jobId)) {
                terminated.add(
                        new WorkerReport.Terminated(jobId, start.epoch(), TerminationReason.FAILED, 0, "exit code 1"));
                return;
            }
            running.put(
                    jobId,
                    new WorkerReport.Running(jobId, start.epoch(), start.throttleVersion(), start.resumeCheckpoint()));
        }
    }
}
