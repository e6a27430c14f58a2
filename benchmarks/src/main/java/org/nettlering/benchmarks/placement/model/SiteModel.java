package org.nettlering.benchmarks.placement.model;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.worker.WorkerCommand;
import org.nettlering.domain.worker.WorkerReport;

/**
 * Runs one scenario.
 *
 * <p>What is submitted and what goes wrong depends on the seed alone, not on the planner. Not thread-safe.
 */
public final class SiteModel {
    /** How much time passes in one step. */
    private static final long STEP_MILLIS = 200;

    /** How often a worker reports. */
    private static final long REPORT_MILLIS = 1_000;

    /** The cap for each worker. */
    private static final long CAP_MILLIWATTS_PER_WORKER = 270_000;

    /** The lowered cap for each worker. */
    private static final long LOWERED_CAP_MILLIWATTS_PER_WORKER = 205_000;

    /** When the cap is lowered, as a share of the run. */
    private static final double LOWERED_FROM = 0.6;

    /** When the cap is raised again, as a share of the run. */
    private static final double LOWERED_UNTIL = 0.6 + 1.0 / 6;

    /** What is run. */
    private final Scenario scenario;

    /** The leader. */
    private final ModelLeader leader;

    /** The truth. */
    private final World world;

    /** The workers. */
    private final List<ModelWorker> workers = new ArrayList<>();

    /** When each worker reports next. */
    private final Map<ModelWorker, Long> nextReports = new HashMap<>();

    /** Until when each worker is cut off. */
    private final Map<ModelWorker, Long> silentUntil = new HashMap<>();

    /** When each worker that failed comes back. */
    private final Map<ModelWorker, Long> backAt = new HashMap<>();

    /** Carries messages. */
    private final Network network;

    /** Decides on arrivals. */
    private final Random arrivals;

    /** Decides on faults. */
    private final Random chance;

    /** Checks the invariants. */
    private final Invariants invariants = new Invariants();

    /** Records the measures. */
    private final Recorder recorder = new Recorder();

    /** Jobs submitted so far. */
    private final List<String> submitted = new ArrayList<>();

    /** Every task, also those that the state no longer keeps. */
    private final List<Task> tasks = new ArrayList<>();

    /** The present time. */
    private long nowMillis;

    /**
     * Runs a scenario to its end.
     *
     * @param scenario what to run, not null
     * @return what was measured, never null
     * @throws IllegalStateException if an invariant does not hold
     */
    public static Measures run(Scenario scenario) {
        return new SiteModel(scenario).run();
    }

    private SiteModel(Scenario scenario) {
        this.scenario = scenario;
        this.world = new World(scenario.seed());
        this.network = new Network(scenario.faults(), scenario.seed() + 1);
        this.arrivals = new Random(scenario.seed() + 2);
        this.chance = new Random(scenario.seed() + 3);
        this.leader = new ModelLeader(
                scenario.planners(),
                Catalog.configuration(1, CAP_MILLIWATTS_PER_WORKER * scenario.workers(), scenario.workers()));
        Random clocks = new Random(scenario.seed() + 4);
        for (int number = 0; number < scenario.workers(); number++) {
            int rack = number / scenario.workersPerRack();
            workers.add(new ModelWorker(
                    "worker-" + number,
                    "rack-" + rack,
                    "domain-" + rack % scenario.failureDomains(),
                    1 + (clocks.nextDouble() - 0.5) * 0.08,
                    world,
                    scenario.seed() * 1_000 + number));
        }
    }

    private Measures run() {
        workers.forEach(worker -> nextReports.put(worker, (long) chance.nextInt((int) REPORT_MILLIS)));
        for (int number = 0; number < scenario.workers(); number++) {
            submitService(number);
        }
        while (nowMillis < scenario.horizonMillis()) {
            nowMillis += STEP_MILLIS;
            step();
        }
        return recorder.measures(leader, world, tasks, scenario.horizonMillis());
    }

    private void step() {
        inject();
        submitBatch();
        network.deliverUntil(nowMillis);
        leader.step(nowMillis);
        double draw = 0;
        for (ModelWorker worker : workers) {
            double load = load(worker);
            worker.step(nowMillis, STEP_MILLIS, load);
            draw += worker.milliwatts(load);
            if (nowMillis >= nextReports.getOrDefault(worker, 0L)) {
                report(worker);
            }
        }
        record(draw);
        if (scenario.checked()) {
            invariants.checkState(leader.state, nowMillis);
            invariants.checkWorkers(workers, leader.state, nowMillis);
        }
    }

    private void record(double draw) {
        for (ModelWorker worker : workers) {
            worker.running().forEach(task -> recorder.runs(task, nowMillis));
            if (nowMillis % 1_000 == 0 && worker.serviceSlowdown > 0 && nowMillis > 60_000) {
                recorder.slowdown(worker.serviceSlowdown);
            }
        }
        recorder.power(
                leader.state.allocatedMilliwatts(),
                draw,
                leader.configuration().powerCapMilliwatts(),
                isLowered(nowMillis),
                STEP_MILLIS);
    }

    private void report(ModelWorker worker) {
        nextReports.put(worker, nowMillis + REPORT_MILLIS);
        if (!worker.alive) {
            return;
        }
        WorkerReport report = worker.report(nowMillis);
        long sent = nowMillis;
        if (isCutOff(worker)) {
            return;
        }
        network.send(nowMillis, () -> answer(worker, report, sent));
    }

    private void answer(ModelWorker worker, WorkerReport report, long sentMillis) {
        ModelLeader.Response response = leader.receive(report, nowMillis);
        List<WorkerCommand> commands = response.commands();
        if (!commands.isEmpty() || response.leaseMillis() == 0) {
            nextReports.merge(worker, nowMillis + STEP_MILLIS, Math::min);
        }
        network.send(nowMillis, () -> {
            if (worker.incarnation == report.incarnation() && !isCutOff(worker)) {
                worker.receive(commands, response.leaseMillis(), sentMillis, nowMillis);
            }
        });
    }

    private boolean isCutOff(ModelWorker worker) {
        return silentUntil.getOrDefault(worker, 0L) > nowMillis;
    }

    /** Returns the load of a service instance, from 0 to 1: a slow wave, and a quick one of its own. */
    private double load(ModelWorker worker) {
        double day = Math.sin(nowMillis / 900_000.0 * Math.PI);
        double own = Math.sin(nowMillis / 40_000.0 + worker.id.hashCode());
        return Math.clamp(0.5 + 0.3 * day + 0.15 * own, 0.1, 1);
    }

    /** Every worker begins with one instance of the service, as at the sites. */
    private void submitService(int number) {
        JobSpecification job = new JobSpecification(
                "service-" + number,
                "studio",
                "previews",
                "",
                Catalog.SERVICE_CLASS,
                Catalog.SERVICE_SIZE,
                Catalog.SERVICE_MILLIWATTS,
                0,
                0,
                true);
        world.create(job, Catalog.SERVICE);
        ModelWorker worker = workers.get(number);
        WorkerReport report = worker.report(nowMillis);
        leader.apply(
                new TaskCommand.RegisterWorker(
                        nowMillis,
                        worker.id,
                        worker.incarnation,
                        report.capacity(),
                        worker.rack,
                        worker.failureDomain,
                        report.idleMilliwatts(),
                        List.of()),
                nowMillis);
        leader.apply(new TaskCommand.Submit(nowMillis, "submit " + job.jobId(), job), nowMillis);
        leader.apply(
                new TaskCommand.Start(
                        nowMillis,
                        job.jobId(),
                        worker.id,
                        Catalog.SERVICE_SIZE,
                        Catalog.SERVICE_MILLIWATTS,
                        Task.FULL_SPEED_PERCENT,
                        "given",
                        ""),
                nowMillis);
    }

    private void submitBatch() {
        for (WorkClass workClass : Catalog.BATCH) {
            double perStep = workClass.jobsPerHourAndWorker()
                    * scenario.workers()
                    * STEP_MILLIS
                    / 3_600_000
                    * scenario.loadFactor();
            if (workClass.name().equals(Catalog.WAVE_CLASS) && isWave()) {
                perStep *= 15;
            }
            for (int count = poisson(perStep); count > 0; count--) {
                submit(workClass, workClass.declared());
            }
        }
        if (arrivals.nextInt((int) (120_000 / STEP_MILLIS)) == 0) {
            submit(Catalog.batch("review"), Resources.of(200_000, 1_000, 0));
        }
    }

    private void submit(WorkClass workClass, Resources declared) {
        String jobId = workClass.name() + "-" + submitted.size();
        long due = workClass.deadlineMillis() == 0 ? 0 : nowMillis + workClass.deadlineMillis();
        boolean impossible = !declared.equals(workClass.declared());
        JobSpecification job = new JobSpecification(
                jobId,
                workClass.team(),
                workClass.profile(),
                "",
                impossible ? "impossible" : workClass.name(),
                declared,
                workClass.declaredMilliwatts(),
                workClass.declaredRunMillis(),
                impossible ? 0 : due,
                false);
        submitted.add(jobId);
        world.create(job, workClass);
        leader.apply(new TaskCommand.Submit(nowMillis, "submit " + jobId, job), nowMillis);
        leader.state.task(jobId).ifPresent(tasks::add);
    }

    private boolean isWave() {
        return nowMillis % 900_000 < 90_000;
    }

    private int poisson(double mean) {
        double limit = Math.exp(-mean);
        double product = arrivals.nextDouble();
        int count = 0;
        while (product > limit) {
            product *= arrivals.nextDouble();
            count++;
        }
        return count;
    }

    private void inject() {
        Faults faults = scenario.faults();
        backAt.entrySet().removeIf(entry -> {
            boolean isBack = entry.getValue() <= nowMillis;
            if (isBack) {
                entry.getKey().restart();
            }
            return isBack;
        });
        if (strikes(faults.crashesPerHour())) {
            crash(anyWorker(), 30_000 + chance.nextInt(120_000));
        }
        if (strikes(faults.restartsPerHour())) {
            anyWorker().restart();
        }
        if (strikes(faults.silencesPerHour())) {
            silentUntil.put(anyWorker(), nowMillis + 5_000 + chance.nextInt(30_000));
        }
        if (strikes(faults.failOversPerHour())) {
            leader.failOver(nowMillis, chance.nextBoolean());
        }
        if (strikes(faults.cancelsPerHour()) && !submitted.isEmpty()) {
            cancel(submitted.get(chance.nextInt(submitted.size())));
        }
        injectPlanned();
    }

    /** The faults that every run has once. */
    private void injectPlanned() {
        long horizon = scenario.horizonMillis();
        if (passes(0.25)) {
            workers.getLast().failing = true;
        }
        if (passes(0.4)) {
            submitted.stream()
                    .skip(Math.max(0, submitted.size() - 100))
                    .toList()
                    .forEach(this::cancel);
        }
        if (passes(0.5)) {
            String rack = workers.getFirst().rack;
            workers.stream().filter(worker -> worker.rack.equals(rack)).forEach(worker -> crash(worker, horizon / 12));
        }
        if (passes(LOWERED_FROM)) {
            configure(2, LOWERED_CAP_MILLIWATTS_PER_WORKER);
        }
        if (passes(LOWERED_UNTIL)) {
            configure(3, CAP_MILLIWATTS_PER_WORKER);
        }
    }

    private void configure(long revision, long milliwattsPerWorker) {
        leader.configure(Catalog.configuration(revision, milliwattsPerWorker * scenario.workers(), scenario.workers()));
    }

    private boolean isLowered(long millis) {
        return millis >= scenario.horizonMillis() * LOWERED_FROM && millis < scenario.horizonMillis() * LOWERED_UNTIL;
    }

    private boolean passes(double share) {
        long moment = (long) (scenario.horizonMillis() * share);
        return nowMillis >= moment && nowMillis - STEP_MILLIS < moment;
    }

    private void cancel(String jobId) {
        leader.apply(new TaskCommand.Cancel(nowMillis, "cancel " + jobId, jobId), nowMillis);
    }

    private void crash(ModelWorker worker, long downMillis) {
        worker.crash();
        backAt.put(worker, nowMillis + downMillis);
    }

    private boolean strikes(int perHour) {
        return chance.nextInt((int) (3_600_000 / STEP_MILLIS)) < perHour;
    }

    private ModelWorker anyWorker() {
        return workers.get(chance.nextInt(workers.size()));
    }
}
