package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.drain.DrainDecision;
import org.nettlering.domain.workflow.drain.DrainingRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/** Long-running tasks of one processor each on hosts that are to be emptied, under the load that each test names. */
class DrainPlannerTest {
    private static final int TASKS = 6;
    private static final int MAY_MISS = 2;

    private final WorkflowState state = WorkflowState.empty();
    private final List<FreeCapacity> capacities = new ArrayList<>();
    private final List<DrainingRun> draining = new ArrayList<>();
    private final Set<ActiveRun> atWork = new HashSet<>();

    @Test
    void domainEmptiedAtFullLoadLosesNoTaskThatHasNoOtherHost() {
        startTasks("service", "evacuated");
        addHost("full", 0);
        assertThat(plan().drainMoves()).isEmpty();
    }

    @Test
    void domainEmptiedBesideIdleHostsLosesAsManyTasksAtOnceAsTheStepMayMiss() {
        startTasks("service", "evacuated");
        addHost("idle", 32_000);
        assertThat(plan().drainMoves()).hasSize(MAY_MISS);
    }

    @Test
    void twoHostsOfOneStepDrainingTogetherNeverMissMoreThanTheStepMay() {
        startTasks("service", "draining-1", "draining-2");
        addHost("idle", 32_000);
        assertThat(plan().drainMoves()).hasSize(MAY_MISS);
    }

    @Test
    void nextTaskMovesOnlyWhenTheNewRunOfThePreviousOneIsAtWork() {
        startTasks("service", "evacuated");
        addHost("idle", 32_000);
        atWork.removeAll(plan().drainMoves());
        assertThat(plan().drainMoves()).isEmpty();
    }

    @Test
    void taskThatNoRecentResponseShowsAtWorkCountsAsAbsent() {
        startTasks("service", "evacuated");
        addHost("idle", 32_000);
        atWork.remove(draining.getFirst().run());
        assertThat(plan().drainMoves())
                .hasSize(MAY_MISS - 1)
                .doesNotContain(draining.getFirst().run());
    }

    @Test
    void burstOfShortJobsComesBeforeTheMovesOfAnEvacuation() {
        startTasks("service", "evacuated");
        addHost("nearly-full", 4_000);
        state.apply(job("burst", step(4, List.of())));
        StartPlan plan = plan();
        assertThat(plan.starts()).hasSize(4);
        assertThat(plan.drainMoves()).isEmpty();
    }

    @Test
    void checkpointedTaskMovesWhateverItsStepMayMiss() {
        state.apply(job("batch", step(1, List.of(), StepTrait.CHECKPOINTING)));
        startTask("batch", 0, "draining");
        addHost("idle", 32_000);
        assertThat(plan().drainMoves()).hasSize(1);
    }

    private StartPlan plan() {
        RelocationCandidates candidates = new RelocationCandidates(List.of(), draining, atWork::contains);
        return StartPlanner.plan(
                state,
                new PlanInput(
                        List.copyOf(capacities),
                        step -> false,
                        ColocationController.create(),
                        candidates,
                        CopyCandidates.NONE,
                        RunTimeModel.empty(),
                        0));
    }

    /** Starts the tasks of a long-running step on hosts that are to be emptied, in turn. */
    private void startTasks(String jobId, String... hosts) {
        StepSpecification service = new StepSpecification(
                TASKS,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                Set.of(StepTrait.LONG_RUNNING),
                PlacementConstraints.NONE,
                new StepServiceLevel("image", 0, MAY_MISS));
        state.apply(job(jobId, service));
        for (int index = 0; index < TASKS; index++) {
            startTask(jobId, index, hosts[index % hosts.length]);
        }
    }

    private void startTask(String jobId, int index, String hostId) {
        ActiveRun run = new ActiveRun(run(jobId, 0, index, 1), new HostIncarnation(hostId, "10.0.0.9:80"), "");
        state.apply(new StartRun(run));
        atWork.add(run);
        draining.add(
                new DrainingRun(run, state.step(new StepId(jobId, 0, 0)).orElseThrow(), DrainDecision.MOVES, false));
    }

    private void addHost(String id, long millicores) {
        HostIncarnation host = new HostIncarnation(id, "10.0.0.1:80");
        HostHeartbeat heartbeat =
                new HostHeartbeat(host, "pool", "fd", Resources.of(millicores, 128_000, 0), "a", "r1", false, 0, 1);
        capacities.add(FreeCapacity.of(heartbeat, HostAllocations.empty(host), 0, List.of(), StartAdmission.ALL));
    }
}
