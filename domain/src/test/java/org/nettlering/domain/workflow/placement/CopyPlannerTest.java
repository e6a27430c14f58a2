package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.end;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.start;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.CommandResult;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.copy.StragglingRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/** A step of four tasks of one processor, of which three are done and one straggles, under the load that each test names. */
class CopyPlannerTest {
    private static final int IDLE_MILLICORES = 200_000;

    private final WorkflowState state = WorkflowState.empty();
    private final List<FreeCapacity> capacities = new ArrayList<>();

    @Test
    void stragglerIsCopiedOnAnIdleHost() {
        StragglingRun straggler = addStraggler("a");
        addHost("idle", IDLE_MILLICORES, 0);
        List<StartRun> copies = plan(0, straggler).copies();
        assertThat(copies).hasSize(1);
        assertThat(copies.getFirst().run().run()).isEqualTo(run("a", 0, 3, 2));
        assertThat(copies.getFirst().run().host().id()).isEqualTo("idle");
    }

    @Test
    void stragglerIsNotCopiedOnItsOwnHostNorWhereRunsFail() {
        StragglingRun straggler = addStraggler("a");
        addHost(HOST, IDLE_MILLICORES, 0);
        addHost("failing", IDLE_MILLICORES, 1);
        assertThat(plan(0, straggler).copies()).isEmpty();
    }

    @Test
    void burstOfFirstRunsTakesTheRoomBeforeAnyCopy() {
        StragglingRun straggler = addStraggler("a");
        addHost("nearly-full", 50_000, 0);
        state.apply(job("burst", step(50, List.of())));
        StartPlan plan = plan(0, straggler);
        assertThat(plan.starts()).hasSize(50);
        assertThat(plan.copies()).isEmpty();
    }

    @Test
    void copiesHoldAFiftiethOfTheProcessorsAtMost() {
        addHost("idle", IDLE_MILLICORES, 0);
        StragglingRun[] stragglers = {addStraggler("a"), addStraggler("b"), addStraggler("c")};
        assertThat(plan(2_000, stragglers).copies()).hasSize(2);
        assertThat(plan(4_000, stragglers).copies()).isEmpty();
    }

    @Test
    void taskIsCopiedOnce() {
        StragglingRun straggler = addStraggler("a");
        addHost("idle", IDLE_MILLICORES, 0);
        state.apply(plan(0, straggler).copies().getFirst());
        assertThat(plan(0, straggler).copies()).isEmpty();
    }

    @Test
    void secondEndOfACopiedTaskChangesNothing() {
        copyStraggler();
        assertThat(state.apply(end("a", 0, 3, 2, TerminalStatus.DONE))).isEqualTo(CommandResult.APPLIED);
        assertThat(state.job("a").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        state.apply(end("a", 0, 3, 1, TerminalStatus.DONE));
        assertThat(state.job("a").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        assertThat(state.isActive(run("a", 0, 3, 1))).isFalse();
        assertThat(state.isActive(run("a", 0, 3, 2))).isFalse();
        assertThat(state.allocations()).isEmpty();
    }

    @Test
    void originalGoesOnWhenTheHostOfItsCopyIsLost() {
        copyStraggler();
        state.apply(end("a", 0, 3, 2, TerminalStatus.HOST_LOST));
        assertThat(stepOf("a").pendingCount()).isZero();
        assertThat(state.isActive(run("a", 0, 3, 1))).isTrue();
        assertThat(stepOf("a").task(3).failures()).isZero();
    }

    @Test
    void failureOfTheOriginalCountsOnceAndTheCopyGoesOn() {
        copyStraggler();
        state.apply(end("a", 0, 3, 1, TerminalStatus.FAILED));
        assertThat(stepOf("a").task(3).failures()).isEqualTo(1);
        assertThat(stepOf("a").pendingCount()).isZero();
        assertThat(state.job("a").orElseThrow().phase()).isEqualTo(JobPhase.RUNNING);
    }

    private void copyStraggler() {
        StragglingRun straggler = addStraggler("a");
        addHost("idle", IDLE_MILLICORES, 0);
        state.apply(plan(0, straggler).copies().getFirst());
    }

    private StragglingRun addStraggler(String jobId) {
        state.apply(job(jobId, step(4, List.of(), StepTrait.SPECULATIVE)));
        for (int index = 0; index < 4; index++) {
            state.apply(start(jobId, 0, index, 1));
        }
        for (int index = 0; index < 3; index++) {
            state.apply(end(jobId, 0, index, 1, TerminalStatus.DONE));
        }
        RunId run = run(jobId, 0, 3, 1);
        return new StragglingRun(new ActiveRun(run, HOST, ""), stepOf(jobId));
    }

    private StepProgress stepOf(String jobId) {
        return state.step(new StepId(jobId, 0, 0)).orElseThrow();
    }

    private StartPlan plan(long copiedMillicores, StragglingRun... stragglers) {
        CopyCandidates candidates = new CopyCandidates(List.of(stragglers), copiedMillicores);
        PlanInput input = new PlanInput(
                capacities,
                step -> false,
                ColocationController.create(),
                RelocationCandidates.NONE,
                candidates,
                RunTimeModel.empty(),
                0);
        return StartPlanner.plan(state, input);
    }

    private void addHost(String id, long millicores, int failures) {
        addHost(new HostIncarnation(id, "10.0.0.2:80"), millicores, failures);
    }

    private void addHost(HostIncarnation host, long millicores, int failures) {
        HostHeartbeat heartbeat =
                new HostHeartbeat(host, "pool", "fd", Resources.of(millicores, 128_000, 0), "a", "r1", false, 0, 1);
        capacities.add(
                FreeCapacity.of(heartbeat, HostAllocations.empty(host), failures, List.of(), StartAdmission.ALL));
    }
}
