package org.nettlering.domain.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.end;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.start;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.WorkflowCommand.Begin;
import org.nettlering.domain.workflow.WorkflowCommand.Cancel;
import org.nettlering.domain.workflow.WorkflowCommand.Forget;

class WorkflowStateTest {
    private final WorkflowState state = WorkflowState.empty();

    @Test
    void aJobIsCompletedWhenAllTasksOfAllStepsAreDone() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        runToEnd(0, 0, RunEnd.DONE);
        runToEnd(0, 1, RunEnd.DONE);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        runToEnd(1, 0, RunEnd.DONE);
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void aStepStartsOnlyAfterTheStepsThatItDependsOnAreDone() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        runToEnd(0, 0, RunEnd.DONE);
        assertThat(state.apply(start("a", 1, 0, 1))).isEqualTo(WorkflowOutcome.UNCHANGED);
        runToEnd(0, 1, RunEnd.DONE);
        assertThat(state.apply(start("a", 1, 0, 1))).isEqualTo(WorkflowOutcome.APPLIED);
    }

    @Test
    void aTaskWithAnActiveRunIsNotStartedAgain() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(WorkflowOutcome.UNCHANGED);
        assertThat(state.waitingSteps()).isEmpty();
    }

    @Test
    void aTaskOfASpeculativeStepMayHaveACopy() {
        state.apply(job("a", step(1, List.of(), StepTrait.SPECULATIVE)));
        state.apply(start("a", 0, 0, 1));
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(WorkflowOutcome.APPLIED);
        state.apply(end("a", 0, 0, 1, RunEnd.DONE));
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
        assertThat(state.isActive(run("a", 0, 0, 2))).isTrue();
    }

    @Test
    void theNumberOfARunIsNotUsedTwice() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, RunEnd.NOT_BEGUN));
        assertThat(state.apply(start("a", 0, 0, 1))).isEqualTo(WorkflowOutcome.UNCHANGED);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(WorkflowOutcome.APPLIED);
    }

    @Test
    void aTaskThatIsDoneIsNotStartedAgain() {
        state.apply(job("a", step(2, List.of())));
        runToEnd(0, 0, RunEnd.DONE);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(WorkflowOutcome.UNCHANGED);
    }

    @Test
    void aJobFailsWhenATaskHasFailedAsOftenAsItMay() {
        state.apply(job("a", step(2, List.of())));
        state.apply(start("a", 0, 1, 1));
        runToEnd(0, 0, RunEnd.FAILED);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        state.apply(start("a", 0, 0, 2));
        state.apply(end("a", 0, 0, 2, RunEnd.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
        assertThat(state.isActive(run("a", 0, 1, 1))).isTrue();
        assertThat(state.waitingSteps()).isEmpty();
    }

    @Test
    void onlyEndsThatFailedCountAsAttempts() {
        state.apply(job("a", step(1, List.of())));
        for (int number = 1; number <= 4; number++) {
            state.apply(start("a", 0, 0, number));
            state.apply(end("a", 0, 0, number, number % 2 == 0 ? RunEnd.HOST_LOST : RunEnd.LAPSED));
        }
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        assertThat(state.waitingSteps()).hasSize(1);
    }

    /** Guards against done work being started again: the true end of a run that was taken for lost was dropped. */
    @Test
    void aRunThatWasTakenForLostAndTurnsOutDoneEndsItsTask() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, RunEnd.HOST_LOST));
        assertThat(state.apply(end("a", 0, 0, 1, RunEnd.DONE))).isEqualTo(WorkflowOutcome.APPLIED);
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(WorkflowOutcome.UNCHANGED);
        assertThat(state.apply(end("a", 0, 0, 1, RunEnd.DONE))).isEqualTo(WorkflowOutcome.UNCHANGED);
    }

    @Test
    void theFailureOfARunThatWasTakenForLostCountsOnce() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, RunEnd.HOST_LOST));
        state.apply(end("a", 0, 0, 1, RunEnd.FAILED));
        state.apply(end("a", 0, 0, 1, RunEnd.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        state.apply(start("a", 0, 0, 2));
        state.apply(end("a", 0, 0, 2, RunEnd.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void theLateFailureOfALostRunOfAGangCountsBesideALaterOne() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        for (int number = 1; number <= 2; number++) {
            state.apply(start("a", 0, 0, number));
            state.apply(start("a", 0, 1, number));
            state.apply(end("a", 0, 0, number, number == 1 ? RunEnd.HOST_LOST : RunEnd.FAILED));
            state.apply(end("a", 0, 1, number, number == 1 ? RunEnd.HOST_LOST : RunEnd.BROKEN));
        }
        state.apply(end("a", 0, 0, 1, RunEnd.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void theOpenFateOfALostRunIsKeptInASnapshot() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, RunEnd.HOST_LOST));
        WorkflowState restored = WorkflowState.from(state.image());
        assertThat(restored.apply(end("a", 0, 0, 1, RunEnd.DONE))).isEqualTo(WorkflowOutcome.APPLIED);
    }

    @Test
    void aTaskThatLastsIsStartedAgainHoweverItEnds() {
        state.apply(job("a", step(1, List.of(), StepTrait.LONG_RUNNING)));
        int number = 1;
        for (RunEnd how : List.of(RunEnd.DONE, RunEnd.FAILED, RunEnd.FAILED, RunEnd.STOPPED)) {
            assertThat(state.apply(start("a", 0, 0, number))).isEqualTo(WorkflowOutcome.APPLIED);
            state.apply(end("a", 0, 0, number, how));
            number++;
        }
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void oneEndOfAGangStandsForAllItsMembers() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(end("a", 0, 1, 1, RunEnd.DONE));
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void theFailuresOfOneRunOfAGangCountOnce() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(end("a", 0, 0, 1, RunEnd.FAILED));
        state.apply(end("a", 0, 1, 1, RunEnd.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        assertThat(state.waitingSteps()).hasSize(1);
    }

    @Test
    void aGangWaitsUntilTheRunsOfItsLastStartHaveEnded() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(end("a", 0, 0, 1, RunEnd.BROKEN));
        assertThat(state.waitingSteps()).isEmpty();
        state.apply(end("a", 0, 1, 1, RunEnd.BROKEN));
        assertThat(state.waitingSteps()).hasSize(1);
        assertThat(state.waitingSteps().iterator().next().nextGangRun()).isEqualTo(2);
    }

    @Test
    void aCancelledJobStartsNothingMoreAndKeepsItsRunsUntilTheyEnd() {
        state.apply(job("a", step(2, List.of())));
        state.apply(start("a", 0, 0, 1));
        assertThat(state.apply(new Cancel("a"))).isEqualTo(WorkflowOutcome.APPLIED);
        assertThat(state.apply(start("a", 0, 1, 1))).isEqualTo(WorkflowOutcome.UNCHANGED);
        assertThat(state.host(HOST.id()).orElseThrow().runs()).hasSize(1);
        state.apply(end("a", 0, 0, 1, RunEnd.STOPPED));
        assertThat(state.host(HOST.id())).isEmpty();
        assertThat(phase("a")).isEqualTo(JobPhase.CANCELLED);
    }

    @Test
    void aJobThatIsSubmittedAgainStaysOneJob() {
        state.apply(job("a", step(1, List.of())));
        state.apply(new Cancel("a"));
        assertThat(state.apply(job("a", step(1, List.of())))).isEqualTo(WorkflowOutcome.UNCHANGED);
        assertThat(phase("a")).isEqualTo(JobPhase.CANCELLED);
    }

    @Test
    void theOccurrencesOfATimedJobBeginOneByOne() {
        state.apply(job("a", new Recurrence(2, 5_000, 1_000), step(1, List.of())));
        assertThat(state.waitingSteps()).isEmpty();
        assertThat(state.timedJobs()).hasSize(1);
        state.apply(new Begin("a", 0));
        runToEnd(0, 0, RunEnd.DONE);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        assertThat(state.job("a").orElseThrow().nextOccurrence()).contains(1);
        state.apply(new Begin("a", 1));
        assertThat(state.timedJobs()).isEmpty();
        RunName second = new RunName(TaskName.of("a", 1, 0, 0), 1);
        state.apply(new WorkflowCommand.Start(new ActiveRun(second, HOST, "")));
        state.apply(new WorkflowCommand.End(second, RunEnd.DONE, ""));
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void queuedJobsAreCountedUntilTheirFirstStart() {
        state.apply(job("a", step(1, List.of())));
        state.apply(job("b", step(1, List.of())));
        assertThat(state.queuedJobs("queue")).isEqualTo(2);
        state.apply(start("a", 0, 0, 1));
        state.apply(new Cancel("b"));
        assertThat(state.queuedJobs("queue")).isZero();
    }

    @Test
    void aJobIsForgottenOnlyAfterItsRunsHaveEnded() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(new Cancel("a"));
        assertThat(state.apply(new Forget("a"))).isEqualTo(WorkflowOutcome.UNCHANGED);
        state.apply(end("a", 0, 0, 1, RunEnd.STOPPED));
        assertThat(state.apply(new Forget("a"))).isEqualTo(WorkflowOutcome.APPLIED);
        assertThat(state.job("a")).isEmpty();
    }

    @Test
    void aCheckpointIsKeptForTheNextRun() {
        state.apply(job("a", step(1, List.of(), StepTrait.CHECKPOINTING)));
        state.apply(start("a", 0, 0, 1));
        state.apply(new WorkflowCommand.End(run("a", 0, 0, 1), RunEnd.HOST_LOST, "half"));
        StepProgress step = state.step(new StepName("a", 0, 0)).orElseThrow();
        assertThat(step.task(0).checkpoint()).isEqualTo("half");
        assertThat(step.task(0).lastRun()).isEqualTo(1);
    }

    @Test
    void aStateThatWentThroughASnapshotGoesOnAsBefore() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        state.apply(job("t", new Recurrence(3, 5_000, 1_000), step(1, List.of())));
        runToEnd(0, 0, RunEnd.DONE);
        state.apply(start("a", 0, 1, 1));
        WorkflowState copy = WorkflowState.from(state.image());
        assertThat(copy.image()).isEqualTo(state.image());
        assertThat(copy.host(HOST.id()).orElseThrow().committed())
                .isEqualTo(state.host(HOST.id()).orElseThrow().committed());
        assertThat(copy.timedJobs()).hasSize(1);
        copy.apply(end("a", 0, 1, 1, RunEnd.DONE));
        assertThat(copy.waitingSteps()).hasSize(1);
    }

    private void runToEnd(int step, int index, RunEnd how) {
        state.apply(start("a", step, index, 1));
        state.apply(end("a", step, index, 1, how));
    }

    private JobPhase phase(String id) {
        return state.job(id).orElseThrow().phase();
    }
}
