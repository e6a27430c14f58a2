package org.nettlering.benchmarks.placement;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.placement.ScoredPlanner;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskPhase;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.TerminationReason;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.worker.WorkerReport;

/**
 * Measures what a placement costs on one core, and what a worker and a task weigh, at one size of the site.
 *
 * <p>The site is filled with 5 service and 10 batch tasks a worker and a backlog that finds no room; then batch tasks end and
 * others start. Not thread-safe.
 */
final class PlacementCost {
    /** Tasks that end, and jobs that come, in one round. */
    private static final int CHURN = 256;

    /** Jobs of the backlog that find no room. */
    private static final int BACKLOG = 5_000;

    /** How long is measured. */
    private static final long MEASURED_NANOS = 3_000_000_000L;

    /** How long is run before. */
    private static final long WARM_UP_NANOS = 3_000_000_000L;

    /** Rounds between two reports of each worker. */
    private static final int ROUNDS_PER_REPORT = 10;

    /** How often every worker reports before it is measured. */
    private static final int LEARNING_PASSES = 12;

    /** The cap, so large that power never stands in the way. */
    private static final long CAP_MILLIWATTS = 1L << 50;

    /** The configuration. */
    private static final SiteConfiguration CONFIGURATION = SiteConfiguration.of(
            1,
            List.of(
                    new Profile("service", 80, Interruption.NEVER, 50),
                    new Profile("batch", 30, Interruption.EVICT, 50)),
            List.of(),
            List.of(),
            CAP_MILLIWATTS);

    /** The state. */
    private final TaskState state = TaskState.empty();

    /** The planner. */
    private final ScoredPlanner planner = ScoredPlanner.create();

    /** Decides which task ends. */
    private final Random random = new Random(1);

    /** Rounds so far. */
    private int rounds;

    /** How many workers there are. */
    private final int workers;

    /** Jobs submitted so far. */
    private int submitted;

    /** The present time. */
    private long nowMillis = 1_000;

    private PlacementCost(int workers) {
        this.workers = workers;
    }

    /**
     * Measures one size.
     *
     * @param workers how many workers there are
     * @return what was measured, never null
     */
    static Cost measure(int workers) {
        return new PlacementCost(workers).measure();
    }

    private Cost measure() {
        long empty = usedBytes();
        for (int number = 0; number < workers; number++) {
            apply(new TaskCommand.RegisterWorker(
                    nowMillis,
                    "worker-" + number,
                    1,
                    Resources.of(30_000, 128_000, 0),
                    "rack-" + number / 10,
                    "domain-" + number % 9,
                    100_000,
                    List.of()));
        }
        round();
        long withWorkers = usedBytes();
        fill();
        long withTasks = usedBytes();
        int tasks = state.tasks().size();
        submit(BACKLOG, Resources.of(29_000, 64_000, 0), false);
        run(WARM_UP_NANOS);
        double perSecond = run(MEASURED_NANOS);
        return new Cost(
                workers,
                tasks,
                perSecond,
                (withWorkers - empty) / (double) workers,
                (withTasks - withWorkers) / (double) tasks);
    }

    private void fill() {
        submit(5 * workers, Resources.of(2_000, 4_096, 0), true);
        submit(10 * workers, Resources.of(1_500, 3_072, 0), false);
        for (int pass = 0; pass < LEARNING_PASSES; pass++) {
            while (round() > 0) {
                nowMillis += 100;
            }
            nowMillis += 1_000;
            state.workers().forEach(this::observe);
        }
        while (round() > 0) {
            nowMillis += 100;
        }
    }

    /** Lets the planner learn that the services do not suffer, so that all the tasks find a place. */
    private void observe(Worker worker) {
        List<WorkerReport.Usage> usage = new ArrayList<>();
        for (Task task : worker.tasks()) {
            Resources size = task.job().declaredResources();
            usage.add(new WorkerReport.Usage(
                    task.job().jobId(),
                    task.epoch(),
                    nowMillis,
                    size.millicores() * 9 / 10,
                    size.memoryMebibytes() * 9 / 10,
                    task.job().powerMilliwatts() * 9 / 10,
                    task.job().serviceTask() ? 1_000 : 0));
        }
        planner.observe(
                state,
                new WorkerReport(
                        worker.id(),
                        1,
                        nowMillis,
                        worker.capacity(),
                        worker.rack(),
                        worker.failureDomain(),
                        worker.idleMilliwatts(),
                        List.of(),
                        List.of(),
                        usage),
                nowMillis);
    }

    /** Lets tasks end and others start for a while; returns the starts a second of planning and applying. */
    private double run(long nanos) {
        long spent = 0;
        long starts = 0;
        while (spent < nanos) {
            if (rounds++ % ROUNDS_PER_REPORT == 0) {
                state.workers().forEach(this::observe);
            }
            List<Task> ended = endSome();
            submit(ended.size(), Resources.of(1_500, 3_072, 0), false);
            long before = System.nanoTime();
            starts += round();
            spent += System.nanoTime() - before;
            nowMillis += 100;
        }
        return starts * 1e9 / spent;
    }

    private List<Task> endSome() {
        List<Task> placed = new ArrayList<>();
        for (Task task : state.tasks()) {
            if (task.phase().isPlaced() && !task.job().serviceTask()) {
                placed.add(task);
            }
        }
        Deque<Task> ended = new ArrayDeque<>();
        for (int count = 0; count < Math.min(CHURN, placed.size() / 4); count++) {
            Task task = placed.get(random.nextInt(placed.size()));
            if (task.phase() == TaskPhase.DONE) {
                continue;
            }
            apply(new TaskCommand.RecordTermination(
                    nowMillis, task.job().jobId(), task.epoch(), TerminationReason.COMPLETED, 0, ""));
            ended.add(task);
        }
        return List.copyOf(ended);
    }

    private int round() {
        List<TaskCommand> commands = planner.plan(state, CONFIGURATION, nowMillis);
        int starts = 0;
        for (TaskCommand command : commands) {
            boolean accepted = apply(command);
            starts += accepted && command instanceof TaskCommand.Start ? 1 : 0;
        }
        return starts;
    }

    private boolean apply(TaskCommand command) {
        return state.apply(command, CAP_MILLIWATTS).isAccepted();
    }

    private void submit(int count, Resources size, boolean service) {
        for (int number = 0; number < count; number++) {
            String jobId = "job-" + submitted++;
            apply(new TaskCommand.Submit(
                    nowMillis,
                    "submit-" + jobId,
                    new JobSpecification(
                            jobId,
                            "team-" + submitted % 220,
                            service ? "service" : "batch",
                            "",
                            service ? "service-" + submitted % 10 : "class-" + submitted % 40,
                            size,
                            10_000,
                            60_000,
                            0,
                            service)));
        }
    }

    private static long usedBytes() {
        Runtime runtime = Runtime.getRuntime();
        for (int attempt = 0; attempt < 3; attempt++) {
            System.gc();
        }
        return runtime.totalMemory() - runtime.freeMemory();
    }

    /**
     * What was measured at one size.
     *
     * @param workers how many workers there are
     * @param tasks how many tasks there are
     * @param placementsPerSecond starts a second of planning and applying, on one core
     * @param bytesPerWorker what a worker weighs in the state and the planner
     * @param bytesPerTask what a placed task weighs in the state and the planner
     */
    record Cost(int workers, int tasks, double placementsPerSecond, double bytesPerWorker, double bytesPerTask) {
        /** Returns one line of the table. */
        String line() {
            return String.format(
                    Locale.ROOT,
                    "%8d %8d %14.0f %14.0f %14.0f",
                    workers,
                    tasks,
                    placementsPerSecond,
                    bytesPerWorker,
                    bytesPerTask);
        }
    }
}
