package org.nettlering.domain.workflow.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.function.ToDoubleBiFunction;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.BestEffortRun;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/**
 * Replays a load on hosts that run latency-critical tasks, with best-effort jobs beside them, against the planner and the
 * throttling; in simulated time and without a network.
 *
 * <p>The tail latency of a latency-critical run is that of a queue: the baseline, divided by the idle share that its own load
 * and its neighbours leave.
 */
final class LoadReplay {
    private static final double BASELINE_MILLIS = 10;
    private static final long TARGET_MILLIS = 50;
    private static final Duration TICK = Duration.ofMillis(50);
    /** Each host is measured once in so many ticks, and a plan is made in every second one. */
    private static final int TICKS_PER_MEASUREMENT = 9;

    private final WorkflowState state = WorkflowState.empty();
    private final ColocationController controller = ColocationController.create();
    private final Map<HostIncarnation, List<LatencyCriticalRun>> measured = new LinkedHashMap<>();
    private final Map<RunId, Work> works = new HashMap<>();
    private final Map<String, Long> endedMillis = new HashMap<>();

    /** The own load of a latency-critical image on a host at a time in seconds, 0 to 1. */
    private final ToDoubleBiFunction<String, Double> ownLoad;

    /** What one processor of a best-effort image adds to the load of its neighbours at a time in seconds. */
    private final ToDoubleBiFunction<String, Double> addedLoad;

    private long nowMillis;
    private long ticks;
    private double overTargetSeconds;
    private double latencyCriticalSeconds;

    /** A best-effort run at work. */
    private static final class Work {
        private double remainingMillis;
        private int speedPercent = 100;

        private Work(double remainingMillis) {
            this.remainingMillis = remainingMillis;
        }
    }

    LoadReplay(int hosts, ToDoubleBiFunction<String, Double> ownLoad, ToDoubleBiFunction<String, Double> addedLoad) {
        this.ownLoad = ownLoad;
        this.addedLoad = addedLoad;
        for (int number = 0; number < hosts; number++) {
            measured.put(new HostIncarnation("h" + number, "10.0.0.1:" + number), List.of());
        }
    }

    long nowMillis() {
        return nowMillis;
    }

    /** Returns the share of their time that latency-critical runs spent over their target. */
    double shareOverTarget() {
        return overTargetSeconds / latencyCriticalSeconds;
    }

    /** Returns when a job ended, in milliseconds since the start, or a very late time if it has not. */
    long endMillis(String jobId) {
        return endedMillis.getOrDefault(jobId, Long.MAX_VALUE);
    }

    StepSpecification submitLatencyCritical(String jobId, String image, int tasks, long millicores) {
        return submit(jobId, 0, image, TARGET_MILLIS, tasks, millicores, Set.of(StepTrait.LONG_RUNNING));
    }

    void submitBestEffort(String jobId, String image, int tasks, long millicores) {
        submit(jobId, 2, image, 0, tasks, millicores, Set.of(StepTrait.BEST_EFFORT, StepTrait.CHECKPOINTING));
    }

    private StepSpecification submit(
            String jobId, int priority, String image, long target, int tasks, long millicores, Set<StepTrait> traits) {
        StepSpecification step = new StepSpecification(
                tasks,
                Resources.of(millicores, 1_000, 0),
                1_700,
                List.of(),
                traits,
                PlacementConstraints.NONE,
                new StepServiceLevel(image, target, -1));
        JobTerms terms = new JobTerms("queue", "pool", new QueueTerms(priority, 2, 2, 1_000, false));
        state.apply(new SubmitJob(jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), nowMillis));
        return step;
    }

    void advance(Duration time) {
        for (long end = nowMillis + time.toMillis(); nowMillis < end; nowMillis += TICK.toMillis()) {
            ticks++;
            if (ticks % 2 == 0) {
                plan();
            }
            int position = 0;
            for (HostIncarnation host : measured.keySet()) {
                work(host, (ticks + position++) % TICKS_PER_MEASUREMENT == 0);
            }
        }
    }

    private void plan() {
        List<FreeCapacity> capacities = new ArrayList<>();
        measured.forEach((host, runs) -> capacities.add(FreeCapacity.of(
                new HostHeartbeat(
                        host, "pool", "fd", Resources.of(32_000, 128_000, 0), "a", "r1", false, nowMillis, ticks),
                state.allocationsOf(host.id()).orElse(HostAllocations.empty(host)),
                0,
                runs,
                StartAdmission.ALL)));
        StartPlan plan = StartPlanner.plan(
                state,
                new PlanInput(
                        capacities,
                        step -> false,
                        controller,
                        RelocationCandidates.ofThrottled(List.of()),
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        nowMillis));
        for (StartRun start : plan.starts()) {
            state.apply(start);
            works.put(start.run().run(), new Work(1_700));
        }
    }

    /** Lets the runs on a host work for one tick. */
    private void work(HostIncarnation host, boolean measures) {
        HostAllocations allocations = state.allocationsOf(host.id()).orElse(HostAllocations.empty(host));
        List<LatencyCriticalRun> latencyCritical = new ArrayList<>();
        List<BestEffortRun> bestEffort = new ArrayList<>();
        double neighbourLoad = 0;
        for (ActiveRun run : allocations.runs()) {
            StepSpecification step =
                    state.step(run.run().task().step()).orElseThrow().specification();
            if (step.has(StepTrait.BEST_EFFORT)) {
                Work work = workOf(run.run());
                long used = step.demand().millicores() * work.speedPercent / 100;
                neighbourLoad += used
                        / 1_000.0
                        * addedLoad.applyAsDouble(step.serviceLevel().image(), nowMillis / 1_000.0);
                bestEffort.add(new BestEffortRun(
                        run.run(), step.serviceLevel().image(), step.demand().millicores(), used, work.speedPercent));
                workOn(run, work);
            }
        }
        for (ActiveRun run : allocations.runs()) {
            StepSpecification step =
                    state.step(run.run().task().step()).orElseThrow().specification();
            if (step.isLatencyCritical()) {
                String image = step.serviceLevel().image();
                double load = ownLoad.applyAsDouble(image, nowMillis / 1_000.0) + neighbourLoad;
                long tail = Math.round(BASELINE_MILLIS / Math.max(0.02, 1 - load));
                latencyCriticalSeconds += TICK.toMillis() / 1_000.0;
                overTargetSeconds += tail > TARGET_MILLIS ? TICK.toMillis() / 1_000.0 : 0;
                latencyCritical.add(new LatencyCriticalRun(run.run(), image, TARGET_MILLIS, tail));
            }
        }
        if (measures) {
            measured.put(host, latencyCritical);
            controller
                    .adjustSpeeds(host.id(), latencyCritical, bestEffort, nowMillis * 1_000_000)
                    .forEach((run, speed) -> workOf(run).speedPercent = speed);
        }
    }

    private Work workOf(RunId run) {
        return Objects.requireNonNull(works.get(run));
    }

    private void workOn(ActiveRun run, Work work) {
        work.remainingMillis -= TICK.toMillis() * work.speedPercent / 100.0;
        if (work.remainingMillis > 0) {
            return;
        }
        state.apply(new RecordTermination(run.run(), TerminalStatus.DONE, ""));
        String jobId = run.run().task().jobId();
        if (!state.job(jobId).orElseThrow().phase().isOpen()) {
            endedMillis.put(jobId, nowMillis);
        }
    }
}
