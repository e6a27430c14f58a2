package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.end;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
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
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.BestEffortRun;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.colocation.LatencyCriticalRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

class StartPlannerTest {
    private final WorkflowState state = WorkflowState.empty();

    private final List<FreeCapacity> capacities = new ArrayList<>();

    @Test
    void startsNeverExceedHostCapacity() {
        addHost("h1", "r1", 3_000, 0);
        addHost("h2", "r1", 2_500, 0);
        state.apply(job("a", step(10, List.of())));
        assertThat(startsByHost()).containsOnly(Map.entry("h1", 3L), Map.entry("h2", 2L));
    }

    @Test
    void memoryLimitsStartsPerHost() {
        capacities.add(freeCapacity("h1", "r1", Resources.of(32_000, 250, 0), 0, List.of()));
        state.apply(job("a", step(10, List.of())));
        assertThat(plan()).hasSize(2);
    }

    @Test
    void gangStartsCompletelyOrNotAtAll() {
        addHost("h1", "r1", 3_000, 0);
        state.apply(job("a", step(4, List.of(), StepTrait.GANG)));
        state.apply(job("b", step(3, List.of(), StepTrait.GANG)));
        assertThat(plan())
                .hasSize(3)
                .allSatisfy(
                        start -> assertThat(start.run().run().task().jobId()).isEqualTo("b"));
    }

    @Test
    void gangMembersShareRunNumber() {
        addHost("h1", "r1", 8_000, 0);
        state.apply(job("a", step(4, List.of(), StepTrait.GANG)));
        assertThat(plan().stream().map(start -> start.run().run().number()).distinct())
                .containsExactly(1);
    }

    @Test
    void hostWithFailuresIsSelectedLast() {
        addHost("bad", "r1", 32_000, 1);
        addHost("good", "r1", 4_000, 0);
        state.apply(job("a", step(3, List.of())));
        assertThat(startsByHost()).containsOnlyKeys("good");
    }

    @Test
    void maxTasksPerHostIsRespected() {
        addHost("h1", "r1", 32_000, 0);
        addHost("h2", "r1", 32_000, 0);
        state.apply(job("a", constrainedStep(6, new PlacementConstraints("", "", 2))));
        assertThat(startsByHost()).containsOnly(Map.entry("h1", 2L), Map.entry("h2", 2L));
    }

    @Test
    void suspectOfACrashStartsAloneOnTheHostWithTheFewestRuns() {
        capacities.add(freeCapacity("new-run", StartAdmission.NO_SUSPECTS));
        capacities.add(freeCapacity("suspect-starting", StartAdmission.NONE));
        capacities.add(freeCapacity("free", StartAdmission.ALL));
        makeSuspect("a");
        state.apply(job("b", step(20, List.of())));
        assertThat(startsByHost()).containsOnly(Map.entry("new-run", 4L), Map.entry("free", 1L));
        assertThat(plan().stream().map(start -> start.run().run().task().jobId()))
                .doesNotContain("a");
    }

    @Test
    void suspectWaitsWhileNoHostWouldShowThatItIsTheCause() {
        capacities.add(freeCapacity("new-run", StartAdmission.NO_SUSPECTS));
        makeSuspect("a");
        assertThat(plan()).isEmpty();
    }

    @Test
    void suspectStartsOnlyOnAHostThatWasInContactAMomentAgo() {
        FreeCapacity host = freeCapacity("free", StartAdmission.ALL);
        host.setInContact(false);
        capacities.add(host);
        makeSuspect("a");
        assertThat(plan()).isEmpty();
        FreeCapacity heardOf = freeCapacity("heard-of", StartAdmission.ALL);
        capacities.add(heardOf);
        assertThat(startsByHost()).containsOnly(Map.entry("heard-of", 1L));
    }

    private void makeSuspect(String jobId) {
        state.apply(job(jobId, step(1, List.of())));
        state.apply(new StartRun(new ActiveRun(run(jobId, 0, 0, 1), new HostIncarnation("gone", "10.0.0.9:80"), "")));
        state.apply(end(jobId, 0, 0, 1, TerminalStatus.CRASH_SUSPECT));
    }

    private static FreeCapacity freeCapacity(String id, StartAdmission admission) {
        HostIncarnation host = new HostIncarnation(id, "10.0.0.1:80");
        HostHeartbeat heartbeat =
                new HostHeartbeat(host, "pool", "fd", Resources.of(4_000, 8_000, 0), "a", "r1", false, 0, 1);
        return FreeCapacity.of(heartbeat, HostAllocations.empty(host), 0, List.of(), admission);
    }

    /** Guards against a leader that is lost to one batch: a step of 50,000 tasks was planned as a whole. */
    @Test
    void aLargeStepStartsInSeveralPlans() {
        addHost("h1", "r1", 60_000_000, 0);
        state.apply(job("a", step(50_000, List.of())));
        assertThat(plan()).hasSize(400);
        state.apply(job("b", step(3, List.of())));
        assertThat(plan()).hasSize(400);
    }

    @Test
    void requiredLabelIsRespected() {
        addHost("h1", "r1", 32_000, 0);
        state.apply(job("a", constrainedStep(1, new PlacementConstraints("", "r9", 0))));
        assertThat(plan()).isEmpty();
    }

    @Test
    void stepThatWaitsForPoolWithoutHostsDoesNotDelayOtherPools() {
        addHost("h1", "r1", 4_000, 0);
        JobTerms elsewhere = new JobTerms("queue", "pool without hosts", new QueueTerms(0, 2, 1.5, 250, false));
        state.apply(new SubmitJob(
                "waits", elsewhere, new JobDefinition("work", List.of(step(1, List.of())), Recurrence.ONCE), 0));
        state.apply(job("a", step(3, List.of())));
        assertThat(plan()).hasSize(3);
    }

    @Test
    void hostsInDataRackArePreferred() {
        addHost("h1", "r1", 32_000, 0);
        addHost("h2", "r2", 32_000, 0);
        state.apply(job("a", constrainedStep(3, new PlacementConstraints("r2", "", 0))));
        assertThat(startsByHost()).containsOnlyKeys("h2");
    }

    @Test
    void rackLocalStepIsPlacedInRackThatFitsAllTasks() {
        addHost("h1", "r1", 3_000, 0);
        addHost("h2", "r2", 2_000, 0);
        addHost("h3", "r2", 2_000, 0);
        state.apply(job("a", step(4, List.of(), StepTrait.RACK_LOCAL)));
        assertThat(startsByHost()).containsOnlyKeys("h2", "h3");
    }

    @Test
    void bestEffortTasksPreferHostsWithoutLatencyCriticalRuns() {
        capacities.add(freeCapacity(
                "busy",
                "r1",
                Resources.of(32_000, 64_000, 0),
                0,
                List.of(new LatencyCriticalRun(run("served", 0, 0, 1), "s", 20, 5))));
        addHost("idle", "r1", 8_000, 0);
        state.apply(job("a", step(3, List.of(), StepTrait.BEST_EFFORT)));
        assertThat(startsByHost()).containsOnlyKeys("idle");
    }

    @Test
    void bestEffortTasksAvoidHostNearLatencyTarget() {
        capacities.add(freeCapacity(
                "busy",
                "r1",
                Resources.of(32_000, 64_000, 0),
                0,
                List.of(new LatencyCriticalRun(run("served", 0, 0, 1), "s", 20, 19))));
        state.apply(job("a", step(3, List.of(), StepTrait.BEST_EFFORT)));
        assertThat(plan()).isEmpty();
    }

    @Test
    void latencyCriticalTasksShareHostsWithSameImage() {
        addHost("h1", "r1", 4_000, 0);
        addHost("h2", "r1", 4_000, 0);
        addHost("h3", "r1", 4_000, 0);
        state.apply(job("a", latencyCriticalStep(2, "first")));
        state.apply(job("b", latencyCriticalStep(2, "second")));
        state.apply(job("c", latencyCriticalStep(2, "first")));
        Map<String, Set<String>> jobsByHost = plan().stream()
                .collect(Collectors.groupingBy(
                        start -> start.run().host().id(),
                        Collectors.mapping(start -> start.run().run().task().jobId(), Collectors.toSet())));
        assertThat(jobsByHost.values()).containsExactlyInAnyOrder(Set.of("a", "c"), Set.of("b"));
    }

    @Test
    void bestEffortTasksPreferHostWithLeastAddedPressure() {
        ColocationController controller = trainedController();
        capacities.add(freeCapacity(
                "tender", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun("tender", 6))));
        capacities.add(freeCapacity(
                "robust", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun("robust", 6))));
        state.apply(job("a", bestEffortStep(4)));
        assertThat(plan(controller, List.of()).starts())
                .hasSize(4)
                .allSatisfy(start -> assertThat(start.run().host().id()).isEqualTo("robust"));
    }

    @Test
    void oneTaskOfOverdueBestEffortStepStartsThrottledOnHostThatItHarmsLeast() {
        ColocationController controller = trainedController();
        addBusyHost("tender");
        addBusyHost("robust");
        state.apply(job("a", bestEffortStep(4)));
        assertThat(plan(controller, List.of()).starts()).isEmpty();
        StartPlan overdue = StartPlanner.plan(
                state,
                new PlanInput(
                        capacities,
                        step -> true,
                        controller,
                        RelocationCandidates.NONE,
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        0));
        assertThat(overdue.starts()).hasSize(1);
        assertThat(overdue.starts().getFirst().run().host().id()).isEqualTo("busy-robust");
        assertThat(overdue.throttledStarts())
                .containsExactly(overdue.starts().getFirst().run().run());
    }

    @Test
    void overdueStepStartsUnthrottledWhereItDoesNoHarm() {
        addHost("idle", "r1", 32_000, 0);
        state.apply(job("a", bestEffortStep(2)));
        StartPlan overdue = StartPlanner.plan(
                state,
                new PlanInput(
                        capacities,
                        step -> true,
                        ColocationController.create(),
                        RelocationCandidates.NONE,
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        0));
        assertThat(overdue.starts()).hasSize(2);
        assertThat(overdue.throttledStarts()).isEmpty();
    }

    @Test
    void overdueGangStartsThrottledAsAWhole() {
        addBusyHost("tender");
        state.apply(job("a", step(3, List.of(), StepTrait.GANG, StepTrait.BEST_EFFORT)));
        StartPlan overdue = StartPlanner.plan(
                state,
                new PlanInput(
                        capacities,
                        step -> true,
                        ColocationController.create(),
                        RelocationCandidates.NONE,
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        0));
        assertThat(overdue.starts()).hasSize(3);
        assertThat(overdue.throttledStarts()).hasSize(3);
    }

    /** Adds a host with room whose latency-critical run of an image is at its target. */
    private void addBusyHost(String image) {
        capacities.add(freeCapacity(
                "busy-" + image, "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun(image, 20))));
    }

    @Test
    void throttledRunMigratesToHostWithLessAddedPressure() {
        ColocationController controller = trainedController();
        capacities.add(freeCapacity(
                "tender", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun("tender", 6))));
        capacities.add(freeCapacity(
                "robust", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun("robust", 6))));
        ThrottledRun throttled = throttledRun("tender");
        assertThat(plan(controller, List.of(throttled)).migrations()).containsExactly(throttled.run());
    }

    @Test
    void throttledRunStaysIfNoOtherHostIsBetter() {
        ColocationController controller = trainedController();
        capacities.add(freeCapacity(
                "tender", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun("tender", 6))));
        capacities.add(freeCapacity(
                "other", "r1", Resources.of(32_000, 64_000, 0), 0, List.of(latencyCriticalRun("tender", 6))));
        assertThat(plan(controller, List.of(throttledRun("tender"))).migrations())
                .isEmpty();
    }

    /** Returns a throttled best-effort run on a host. */
    private ThrottledRun throttledRun(String hostId) {
        state.apply(job("slow", bestEffortStep(1)));
        HostIncarnation host = new HostIncarnation(hostId, "10.0.0.1:80");
        ActiveRun run = new ActiveRun(run("slow", 0, 0, 1), host, "");
        state.apply(new StartRun(run));
        return new ThrottledRun(run, state.step(run.run().task().step()).orElseThrow());
    }

    /** Returns a controller that has learned that best-effort runs disturb the image tender, but not robust. */
    private static ColocationController trainedController() {
        ColocationController controller = ColocationController.create();
        RunId run = run("filling", 0, 0, 1);
        for (int sample = 0; sample < 100; sample++) {
            long nowNanos = Duration.ofMillis(500L * sample).toNanos();
            boolean colocated = sample % 4 < 2;
            List<BestEffortRun> bestEffort =
                    colocated ? List.of(new BestEffortRun(run, "filling", 4_000, 4_000, 100)) : List.of();
            controller.adjustSpeeds(
                    "tender", List.of(latencyCriticalRun("tender", colocated ? 9 : 6)), bestEffort, nowNanos);
            controller.adjustSpeeds("robust", List.of(latencyCriticalRun("robust", 6)), bestEffort, nowNanos);
        }
        return controller;
    }

    private static LatencyCriticalRun latencyCriticalRun(String image, long tailLatencyMillis) {
        return new LatencyCriticalRun(run(image, 0, 0, 1), image, 20, tailLatencyMillis);
    }

    private static StepSpecification latencyCriticalStep(int count, String image) {
        return new StepSpecification(
                count,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                Set.of(StepTrait.LONG_RUNNING),
                PlacementConstraints.NONE,
                new StepServiceLevel(image, 20, 0));
    }

    private static StepSpecification bestEffortStep(int count) {
        return new StepSpecification(
                count,
                Resources.of(4_000, 100, 0),
                1_000,
                List.of(),
                Set.of(StepTrait.BEST_EFFORT),
                PlacementConstraints.NONE,
                new StepServiceLevel("filling", 0, -1));
    }

    @Test
    void jobWithLeastRemainingWorkStartsFirstWhenCapacityIsShort() {
        addHost("h1", "r1", 2_000, 0);
        state.apply(job("long", step(8, List.of())));
        state.apply(job("short", step(2, List.of())));
        assertThat(plan())
                .allSatisfy(
                        start -> assertThat(start.run().run().task().jobId()).isEqualTo("short"));
    }

    private static StepSpecification constrainedStep(int count, PlacementConstraints constraints) {
        return new StepSpecification(
                count,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                Set.of(),
                constraints,
                StepServiceLevel.UNSPECIFIED);
    }

    private void addHost(String id, String rack, long millicores, int consecutiveFailures) {
        capacities.add(freeCapacity(id, rack, Resources.of(millicores, 128_000, 0), consecutiveFailures, List.of()));
    }

    private static FreeCapacity freeCapacity(
            String id,
            String rack,
            Resources capacity,
            int consecutiveFailures,
            List<LatencyCriticalRun> latencyCritical) {
        HostIncarnation host = new HostIncarnation(id, "10.0.0.1:80");
        HostHeartbeat heartbeat = new HostHeartbeat(host, "pool", "fd", capacity, "a", rack, false, 0, 1);
        return FreeCapacity.of(
                heartbeat, HostAllocations.empty(host), consecutiveFailures, latencyCritical, StartAdmission.ALL);
    }

    private List<StartRun> plan() {
        return plan(ColocationController.create(), List.of()).starts();
    }

    private StartPlan plan(ColocationController colocation, List<ThrottledRun> throttled) {
        return StartPlanner.plan(
                state,
                new PlanInput(
                        capacities,
                        step -> false,
                        colocation,
                        RelocationCandidates.ofThrottled(throttled),
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        0));
    }

    private Map<String, Long> startsByHost() {
        return plan().stream()
                .collect(Collectors.groupingBy(start -> start.run().host().id(), Collectors.counting()));
    }
}
