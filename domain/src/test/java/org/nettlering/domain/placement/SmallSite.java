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

/** A few obedient workers around the pure placement logic; time moves by one second with each step. */
public final class SmallSite {
    private final TaskState state = TaskState.empty();
    private final Planner planner;
    private final Map<String, FakeWorker> workers = new LinkedHashMap<>();
    private final Set<String> poisonedJobs = new HashSet<>();
    private final List<TaskCommand> decided = new ArrayList<>();
    private SiteConfiguration configuration;
    private long nowMillis = 1_000_000;

    public SmallSite(Planner planner, SiteConfiguration configuration) {
        this.planner = planner;
        this.configuration = configuration;
    }

    public void configure(SiteConfiguration latest) {
        configuration = latest;
    }

    public void addWorker(String id, String rack, Resources capacity) {
        FakeWorker worker = new FakeWorker(id, rack, capacity);
        workers.put(id, worker);
        report(worker);
    }

    /** The worker offers something else from its next report on. */
    public void offer(String workerId, Resources capacity) {
        worker(workerId).capacity = capacity;
    }

    public void failEverythingOn(String workerId) {
        worker(workerId).failsEverything = true;
    }

    public void failEverywhere(String jobId) {
        poisonedJobs.add(jobId);
    }

    /** The worker is cut off; its lease has not ended. */
    public void silence(String workerId) {
        worker(workerId).silent = true;
    }

    /** The host is gone, and its lease with the clock-drift bound has passed. */
    public void lose(String workerId) {
        worker(workerId).silent = true;
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
                worker.ended.add(new WorkerReport.Terminated(jobId, task.epoch(), TerminationReason.COMPLETED, 0, ""));
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

    /** Plans once and applies what was decided. */
    public List<TaskCommand> plan() {
        List<TaskCommand> commands = planner.plan(state, configuration, nowMillis);
        decided.addAll(commands);
        commands.forEach(this::apply);
        return commands;
    }

    public List<TaskCommand> decided() {
        return decided;
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

    /** How many workers run a job at this moment. */
    public long timesRunning(String jobId) {
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
        if (worker.silent) {
            return;
        }
        WorkerReport report = worker.report();
        WorkerReportReconciler.commandsToPropose(state, report, nowMillis).forEach(this::apply);
        planner.observe(state, report, nowMillis);
        if (WorkerReportReconciler.needsRegistration(state.worker(worker.id).orElseThrow(), report)) {
            return;
        }
        WorkerReportReconciler.commandsForWorker(state, report, nowMillis)
                .forEach(command -> worker.obey(command, this));
    }

    /** A worker that does what it is told at once. */
    private static final class FakeWorker {
        private final String id;
        private final String rack;
        private Resources capacity;
        private final Map<String, WorkerReport.Running> running = new LinkedHashMap<>();
        private final List<WorkerReport.Terminated> ended = new ArrayList<>();
        private final List<WorkerReport.Usage> usage = new ArrayList<>();
        private boolean failsEverything;
        private boolean silent;
        private long sequence;

        private FakeWorker(String id, String rack, Resources capacity) {
            this.id = id;
            this.rack = rack;
            this.capacity = capacity;
        }

        private WorkerReport report() {
            List<WorkerReport.Usage> measured = List.copyOf(usage);
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
                    List.copyOf(ended),
                    measured);
        }

        private void obey(WorkerCommand command, SmallSite site) {
            switch (command) {
                case WorkerCommand.Start start -> start(start, site);
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
                    ended.add(new WorkerReport.Terminated(
                            stop.jobId(), stop.epoch(), TerminationReason.STOPPED, checkpoint, ""));
                }
                case WorkerCommand.Acknowledge acknowledge ->
                    ended.removeIf(
                            task -> task.jobId().equals(acknowledge.jobId()) && task.epoch() == acknowledge.epoch());
            }
        }

        private void start(WorkerCommand.Start start, SmallSite site) {
            String jobId = start.job().jobId();
            if (failsEverything || site.poisonedJobs.contains(jobId)) {
                ended.add(
                        new WorkerReport.Terminated(jobId, start.epoch(), TerminationReason.FAILED, 0, "exit code 1"));
                return;
            }
            running.put(
                    jobId,
                    new WorkerReport.Running(jobId, start.epoch(), start.throttleVersion(), start.resumeCheckpoint()));
        }
    }
}
