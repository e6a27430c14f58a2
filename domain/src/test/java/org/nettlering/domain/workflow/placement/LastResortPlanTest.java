package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/** What starts on a host that is left out after failures and may be tried. */
class LastResortPlanTest {
    private final WorkflowState state = WorkflowState.empty();

    private final List<FreeCapacity> capacities = new ArrayList<>();

    private final TrialTurns turns = TrialTurns.create();

    /** Guards against a task that waits for a long backoff of the one host that can take it. */
    @Test
    void oneTaskIsTriedThatNoOtherHostCanTake() {
        addHost("full", 1_000, false);
        addHost("failed", 4_000, true);
        state.apply(job("a", step(3, List.of(), StepTrait.LONG_RUNNING)));
        assertThat(hostsOfStarts()).containsExactly("full");
        capacities.removeFirst();
        assertThat(hostsOfStarts()).containsExactly("failed");
    }

    @Test
    void nothingIsTriedWhileAnotherHostCanTakeIt() {
        addHost("sound", 4_000, false);
        addHost("failed", 4_000, true);
        state.apply(job("a", step(4, List.of())));
        assertThat(hostsOfStarts()).containsOnly("sound");
    }

    @Test
    void nothingIsTriedBesideARunThatHasJustStarted() {
        addHost("failed", 4_000, true, StartAdmission.NO_SUSPECTS);
        state.apply(job("a", step(1, List.of())));
        assertThat(hostsOfStarts()).isEmpty();
    }

    /** Guards against a gang that waits for a long backoff of the one host that can take all of it. */
    @Test
    void aGangIsTriedAsAWholeOnTheHostsThatHaveRoomForIt() {
        addHost("failed", 2_000, true);
        state.apply(job("a", step(3, List.of(), StepTrait.GANG)));
        assertThat(hostsOfStarts()).isEmpty();
        addHost("failed-too", 1_000, true);
        assertThat(hostsOfStarts()).containsExactly("failed", "failed", "failed-too");
    }

    @Test
    void aGangIsNotTriedBesideARunThatHasJustStarted() {
        addHost("failed", 4_000, true, StartAdmission.NO_SUSPECTS);
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        assertThat(hostsOfStarts()).isEmpty();
    }

    @Test
    void membersOfAGangThatAnotherHostCanTakeAreNotTried() {
        addHost("sound", 1_000, false);
        addHost("failed", 4_000, true);
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        assertThat(hostsOfStarts()).containsExactly("sound", "failed");
    }

    @Test
    void aGangAndAnotherStepTakeTurns() {
        addHost("failed", 4_000, true);
        state.apply(job("gang", step(2, List.of(), StepTrait.GANG)));
        state.apply(job("b", step(1, List.of())));
        assertThat(jobsOfTrials(1, 2)).containsExactly("b", "gang", "gang");
    }

    /** Guards against a sound task that waits for as long as the tasks of another step fail on the only host that can take it. */
    @Test
    void stepsTakeTurnsOnTheOneHostAlthoughOneOfThemHasTasksLeftAndComesFirst() {
        addHost("failed", 4_000, true);
        state.apply(job("failing", step(3, List.of(), StepTrait.LONG_RUNNING)));
        assertThat(jobsOfTrials(1, 2)).containsExactly("failing", "failing");
        state.apply(job("sound", step(1, List.of(), StepTrait.LONG_RUNNING)));
        assertThat(jobsOfTrials(3, 6)).containsExactly("sound", "failing", "sound", "failing");
    }

    /** Returns the job of the trial in each of the plans at the given times, none of which is committed. */
    private List<String> jobsOfTrials(long firstNanos, long lastNanos) {
        List<String> jobs = new ArrayList<>();
        for (long nowNanos = firstNanos; nowNanos <= lastNanos; nowNanos++) {
            turns.update(state.pendingSteps(), nowNanos);
            capacities.clear();
            addHost("failed", 4_000, true);
            for (StartRun start : planStarts()) {
                jobs.add(start.run().run().task().jobId());
                turns.recordStart(start.run().run().task().step(), nowNanos);
            }
        }
        return jobs;
    }

    private List<String> hostsOfStarts() {
        return planStarts().stream().map(start -> start.run().host().id()).toList();
    }

    private List<StartRun> planStarts() {
        return StartPlanner.plan(
                        state,
                        new PlanInput(
                                List.copyOf(capacities),
                                step -> false,
                                ColocationController.create(),
                                RelocationCandidates.NONE,
                                CopyCandidates.NONE,
                                turns,
                                RunTimeModel.empty(),
                                0))
                .starts();
    }

    private void addHost(String id, long millicores, boolean lastResort) {
        addHost(id, millicores, lastResort, StartAdmission.ALL);
    }

    private void addHost(String id, long millicores, boolean lastResort, StartAdmission admission) {
        HostIncarnation host = new HostIncarnation(id, "10.0.0.1:80");
        HostHeartbeat heartbeat =
                new HostHeartbeat(host, "pool", "fd", Resources.of(millicores, 64_000, 0), "a", "r1", false, 0, 1);
        FreeCapacity capacity = FreeCapacity.of(heartbeat, HostAllocations.empty(host), 0, List.of(), admission);
        capacity.setLastResort(lastResort);
        capacities.add(capacity);
    }
}
