package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.end;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/** What starts of best-effort steps that have waited too long where fewer processors are idle than they ask for. */
class OverdueStepPlanTest {
    private static final Resources SMALL_HOST = Resources.of(4_000, 64_000, 0);

    private final WorkflowState state = WorkflowState.empty();

    private final List<FreeCapacity> capacities = new ArrayList<>();

    /** Guards against best-effort work that never starts: its processors, which are allocated to none, had to be idle. */
    @Test
    void overdueTaskStartsThrottledWhereFewerProcessorsAreIdleThanItAsksFor() {
        addHost("small", SMALL_HOST);
        state.apply(job("a", bestEffortStep(3, 5_000)));
        assertThat(plan(false).starts()).isEmpty();
        StartPlan overdue = plan(true);
        assertThat(overdue.starts()).hasSize(1);
        assertThat(overdue.throttledStarts())
                .containsExactly(overdue.starts().getFirst().run().run());
    }

    @Test
    void overdueTaskStartsWhereMostProcessorsAreIdle() {
        addHost("smaller", Resources.of(2_000, 64_000, 0));
        addHost("small", SMALL_HOST);
        state.apply(job("a", bestEffortStep(1, 5_000)));
        assertThat(plan(true).starts())
                .singleElement()
                .satisfies(start -> assertThat(start.run().host().id()).isEqualTo("small"));
    }

    @Test
    void overdueTaskWaitsForTheMemoryThatItIsAllocated() {
        addHost("small", Resources.of(4_000, 50, 0));
        state.apply(job("a", bestEffortStep(1, 5_000)));
        state.apply(job("b", bestEffortStep(1, 6_000)));
        assertThat(plan(true).starts()).isEmpty();
    }

    @Test
    void overdueTaskStartsAlthoughASmallerOneFoundNoIdleProcessors() {
        addHost("small", SMALL_HOST);
        state.apply(job("a", bestEffortStep(1, 5_000)));
        state.apply(job("b", bestEffortStep(1, 6_000)));
        assertThat(plan(true).starts()).hasSize(2);
    }

    /** Guards against a suspect of a crash that waits for idle processors without bound. */
    @Test
    void overdueSuspectStartsThrottledWhereFewerProcessorsAreIdleThanItAsksFor() {
        addHost("small", SMALL_HOST);
        state.apply(job("a", bestEffortStep(1, 5_000)));
        state.apply(new StartRun(new ActiveRun(run("a", 0, 0, 1), new HostIncarnation("gone", "10.0.0.9:80"), "")));
        state.apply(end("a", 0, 0, 1, TerminalStatus.CRASH_SUSPECT));
        assertThat(plan(false).starts()).isEmpty();
        StartPlan overdue = plan(true);
        assertThat(overdue.starts()).hasSize(1);
        assertThat(overdue.throttledStarts()).hasSize(1);
    }

    private StartPlan plan(boolean overdue) {
        return StartPlanner.plan(
                state,
                new PlanInput(
                        List.copyOf(capacities),
                        step -> overdue,
                        ColocationController.create(),
                        RelocationCandidates.NONE,
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        0));
    }

    private void addHost(String id, Resources capacity) {
        HostIncarnation host = new HostIncarnation(id, "10.0.0.1:80");
        HostHeartbeat heartbeat = new HostHeartbeat(host, "pool", "fd", capacity, "a", "r1", false, 0, 1);
        capacities.add(FreeCapacity.of(heartbeat, HostAllocations.empty(host), 0, List.of(), StartAdmission.ALL));
    }

    private static StepSpecification bestEffortStep(int taskCount, long millicores) {
        return new StepSpecification(
                taskCount,
                Resources.of(millicores, 100, 0),
                1_000,
                List.of(),
                Set.of(StepTrait.BEST_EFFORT),
                PlacementConstraints.NONE,
                new StepServiceLevel("filling", 0, -1));
    }
}
