package org.nettlering.domain.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.HOST;
import static org.nettlering.domain.workflow.WorkflowSamples.end;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.start;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;
import org.nettlering.domain.workflow.WorkflowCommand.StartOccurrence;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

class WorkflowStateTest {
    private final WorkflowState state = WorkflowState.empty();

    @Test
    void aJobIsCompletedWhenAllTasksOfAllStepsAreDone() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        startAndEnd(0, 0, TerminalStatus.DONE);
        startAndEnd(0, 1, TerminalStatus.DONE);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        startAndEnd(1, 0, TerminalStatus.DONE);
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void aStepStartsOnlyAfterTheStepsThatItDependsOnAreDone() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        startAndEnd(0, 0, TerminalStatus.DONE);
        assertThat(state.apply(start("a", 1, 0, 1))).isEqualTo(CommandResult.UNCHANGED);
        startAndEnd(0, 1, TerminalStatus.DONE);
        assertThat(state.apply(start("a", 1, 0, 1))).isEqualTo(CommandResult.APPLIED);
    }

    @Test
    void aTaskWithAnActiveRunIsNotStartedAgain() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.pendingSteps()).isEmpty();
    }

    @Test
    void aSpeculativeTaskMayHaveASecondActiveRun() {
        state.apply(job("a", step(1, List.of(), StepTrait.SPECULATIVE)));
        state.apply(start("a", 0, 0, 1));
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(CommandResult.APPLIED);
        state.apply(end("a", 0, 0, 1, TerminalStatus.DONE));
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
        assertThat(state.isActive(run("a", 0, 0, 2))).isTrue();
    }

    @Test
    void theMemoryOfAJobIsCountedUntilItIsRemoved() {
        JobDefinition definition =
                job("a", step(2, List.of()), step(1, List.of(0))).definition();
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        assertThat(state.heldBytes()).isEqualTo(JobFootprint.unfinishedBytes(definition));
        assertThat(WorkflowState.from(state.snapshot()).heldBytes()).isEqualTo(state.heldBytes());
        state.apply(new CancelJob("a"));
        assertThat(state.heldBytes()).isEqualTo(JobFootprint.definitionBytes(definition));
        assertThat(WorkflowState.from(state.snapshot()).heldBytes()).isEqualTo(state.heldBytes());
        state.apply(new RemoveJob("a"));
        assertThat(state.heldBytes()).isZero();
    }

    @Test
    void theMemoryOfAPeriodicJobGrowsWithItsStartedOccurrences() {
        WorkflowCommand.SubmitJob periodic = job("a", new Recurrence(3, 0, 1_000), step(1, List.of()));
        state.apply(periodic);
        state.apply(new StartOccurrence("a", 0));
        state.apply(new StartOccurrence("a", 1));
        assertThat(state.heldBytes())
                .isEqualTo(JobFootprint.definitionBytes(periodic.definition())
                        + 2 * JobFootprint.progressBytes(periodic.definition()));
        assertThat(WorkflowState.from(state.snapshot()).heldBytes()).isEqualTo(state.heldBytes());
        state.apply(new CancelJob("a"));
        assertThat(state.heldBytes()).isEqualTo(JobFootprint.definitionBytes(periodic.definition()));
    }

    @Test
    void aRunNumberIsNotReused() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, TerminalStatus.NOT_BEGUN));
        assertThat(state.apply(start("a", 0, 0, 1))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(CommandResult.APPLIED);
    }

    @Test
    void aTaskThatIsDoneIsNotRestarted() {
        state.apply(job("a", step(2, List.of())));
        startAndEnd(0, 0, TerminalStatus.DONE);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(CommandResult.UNCHANGED);
    }

    @Test
    void aJobFailsWhenATaskReachesItsFailureLimit() {
        state.apply(job("a", step(2, List.of())));
        state.apply(start("a", 0, 1, 1));
        startAndEnd(0, 0, TerminalStatus.FAILED);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        state.apply(start("a", 0, 0, 2));
        state.apply(end("a", 0, 0, 2, TerminalStatus.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
        assertThat(state.isActive(run("a", 0, 1, 1))).isTrue();
        assertThat(state.pendingSteps()).isEmpty();
    }

    @Test
    void onlyFailedRunsCountAsAttempts() {
        state.apply(job("a", step(1, List.of())));
        for (int number = 1; number <= 4; number++) {
            state.apply(start("a", 0, 0, number));
            state.apply(end("a", 0, 0, number, number % 2 == 0 ? TerminalStatus.HOST_LOST : TerminalStatus.LAPSED));
        }
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        assertThat(state.pendingSteps()).hasSize(1);
    }

    /** Guards against a restart of completed work because the reported termination of a run assumed lost was dropped. */
    @Test
    void aLostRunLaterReportedAsDoneCompletesItsTask() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, TerminalStatus.HOST_LOST));
        assertThat(state.apply(end("a", 0, 0, 1, TerminalStatus.DONE))).isEqualTo(CommandResult.APPLIED);
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.apply(end("a", 0, 0, 1, TerminalStatus.DONE))).isEqualTo(CommandResult.UNCHANGED);
    }

    @Test
    void aLostRunLaterReportedAsFailedCountsAsOneFailure() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, TerminalStatus.HOST_LOST));
        state.apply(end("a", 0, 0, 1, TerminalStatus.FAILED));
        state.apply(end("a", 0, 0, 1, TerminalStatus.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        state.apply(start("a", 0, 0, 2));
        state.apply(end("a", 0, 0, 2, TerminalStatus.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void theLateFailureOfALostRunOfAGangCountsBesideALaterOne() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        for (int number = 1; number <= 2; number++) {
            state.apply(start("a", 0, 0, number));
            state.apply(start("a", 0, 1, number));
            state.apply(end("a", 0, 0, number, number == 1 ? TerminalStatus.HOST_LOST : TerminalStatus.FAILED));
            state.apply(end("a", 0, 1, number, number == 1 ? TerminalStatus.HOST_LOST : TerminalStatus.BROKEN));
        }
        state.apply(end("a", 0, 0, 1, TerminalStatus.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void aTaskIsGivenUpIfItIsTheOnlySuspectOfTheSecondCrash() {
        state.apply(job("a", step(1, List.of(), StepTrait.LONG_RUNNING)));
        endRun(1, TerminalStatus.CRASH_SUSPECT);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        endRun(2, TerminalStatus.CRASHED_HOST);
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void aSuspectIsGivenUpAfterTheFourthCrashAtTheLatest() {
        state.apply(job("a", step(1, List.of())));
        for (int number = 1; number <= 4; number++) {
            assertThat(phase("a")).isIn(JobPhase.QUEUED, JobPhase.RUNNING);
            endRun(number, TerminalStatus.CRASH_SUSPECT);
        }
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void aCrashIsCountedOnceAlsoIfItIsKnownOnlyAfterTheLoss() {
        state.apply(job("a", step(1, List.of())));
        endRun(1, TerminalStatus.HOST_LOST);
        for (int time = 0; time < 2; time++) {
            state.apply(end("a", 0, 0, 1, TerminalStatus.CRASHED_HOST));
        }
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        endRun(2, TerminalStatus.CRASHED_HOST);
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void aSnapshotKeepsHostCrashes() {
        state.apply(job("a", step(1, List.of())));
        endRun(1, TerminalStatus.CRASHED_HOST);
        WorkflowState restored = WorkflowState.from(state.snapshot());
        restored.apply(start("a", 0, 0, 2));
        restored.apply(end("a", 0, 0, 2, TerminalStatus.CRASHED_HOST));
        assertThat(restored.job("a").orElseThrow().phase()).isEqualTo(JobPhase.FAILED);
    }

    /** Guards against LOST: hosts that were down when the start arrived counted as crashed by the task. */
    @Test
    void aTaskThatHadBegunAtOneCrashOnlyIsNotGivenUp() {
        state.apply(job("a", step(1, List.of())));
        endRun(1, TerminalStatus.CRASH_UNCONFIRMED);
        endRun(2, TerminalStatus.CRASHED_HOST);
        endRun(3, TerminalStatus.CRASH_UNCONFIRMED);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        endRun(4, TerminalStatus.CRASHED_HOST);
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    /** BUDGET allows no third start after the third crash, whether or not the hosts told that the task had begun. */
    @Test
    void aSuspectIsGivenUpAfterTheFifthPossibleCrashAtTheLatest() {
        state.apply(job("a", step(1, List.of())));
        for (int number = 1; number <= 5; number++) {
            assertThat(phase("a")).isIn(JobPhase.QUEUED, JobPhase.RUNNING);
            endRun(number, TerminalStatus.CRASH_UNCONFIRMED);
        }
        assertThat(phase("a")).isEqualTo(JobPhase.FAILED);
    }

    @Test
    void aSnapshotKeepsPossibleHostCrashes() {
        state.apply(job("a", step(1, List.of())));
        for (int number = 1; number <= 4; number++) {
            endRun(number, TerminalStatus.CRASH_UNCONFIRMED);
        }
        WorkflowState restored = WorkflowState.from(state.snapshot());
        assertThat(restored.pendingSteps()).allMatch(StepProgress::hasSuspects).isNotEmpty();
        restored.apply(start("a", 0, 0, 5));
        restored.apply(end("a", 0, 0, 5, TerminalStatus.CRASH_UNCONFIRMED));
        assertThat(restored.job("a").orElseThrow().phase()).isEqualTo(JobPhase.FAILED);
    }

    /** Guards against members that end for want of memory: finished jobs kept an object for each task. */
    @Test
    void aFinishedJobKeepsNothingOfItsTasks() {
        state.apply(job("a", step(5_000, List.of())));
        state.apply(new CancelJob("a"));
        assertThat(state.job("a").orElseThrow().steps()).isEmpty();
        assertThat(phase("a")).isEqualTo(JobPhase.CANCELLED);
        assertThat(state.unfinishedJobTasks()).isZero();
        assertThat(state.pendingSteps()).isEmpty();
    }

    @Test
    void aFinishedJobKeepsItsTasksUntilItsLastRunHasEnded() {
        state.apply(job("a", step(2, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(new CancelJob("a"));
        state.apply(end("a", 0, 0, 1, TerminalStatus.STOPPED));
        assertThat(state.job("a").orElseThrow().steps()).hasSize(1);
        assertThat(state.apply(new RemoveJob("a"))).isEqualTo(CommandResult.UNCHANGED);
        state.apply(end("a", 0, 1, 1, TerminalStatus.STOPPED));
        assertThat(state.job("a").orElseThrow().steps()).isEmpty();
        assertThat(state.allocations()).isEmpty();
        assertThat(state.apply(end("a", 0, 1, 1, TerminalStatus.DONE))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.apply(start("a", 0, 0, 2))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.apply(new RemoveJob("a"))).isEqualTo(CommandResult.APPLIED);
    }

    @Test
    void aSnapshotOfAMemberThatKeptTheTasksOfFinishedJobsIsRestoredWithoutThem() {
        state.apply(job("a", step(2, List.of())));
        WorkflowStateSnapshot.JobSnapshot open = state.snapshot().jobs().getFirst();
        WorkflowStateSnapshot.JobSnapshot finished = new WorkflowStateSnapshot.JobSnapshot(
                open.id(),
                open.terms(),
                open.definition(),
                open.acceptedMillis(),
                JobPhase.COMPLETED,
                open.occurrences());
        WorkflowState restored =
                WorkflowState.from(new WorkflowStateSnapshot(List.of(finished), 0, state.evacuations()));
        assertThat(restored.job("a").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        assertThat(restored.job("a").orElseThrow().steps()).isEmpty();
    }

    @Test
    void aTaskThatIsDoneIsNotGivenUpForALateCrash() {
        state.apply(job("a", step(2, List.of())));
        endRun(1, TerminalStatus.CRASHED_HOST);
        endRun(2, TerminalStatus.HOST_LOST);
        endRun(3, TerminalStatus.DONE);
        state.apply(end("a", 0, 0, 2, TerminalStatus.CRASHED_HOST));
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
    }

    private void endRun(int number, TerminalStatus status) {
        state.apply(start("a", 0, 0, number));
        state.apply(end("a", 0, 0, number, status));
    }

    @Test
    void aSnapshotKeepsUnconfirmedTerminations() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(end("a", 0, 0, 1, TerminalStatus.HOST_LOST));
        WorkflowState restored = WorkflowState.from(state.snapshot());
        assertThat(restored.apply(end("a", 0, 0, 1, TerminalStatus.DONE))).isEqualTo(CommandResult.APPLIED);
    }

    @Test
    void aLongRunningTaskIsRestartedAfterAnyTerminalStatus() {
        state.apply(job("a", step(1, List.of(), StepTrait.LONG_RUNNING)));
        int number = 1;
        for (TerminalStatus status :
                List.of(TerminalStatus.DONE, TerminalStatus.FAILED, TerminalStatus.FAILED, TerminalStatus.STOPPED)) {
            assertThat(state.apply(start("a", 0, 0, number))).isEqualTo(CommandResult.APPLIED);
            state.apply(end("a", 0, 0, number, status));
            number++;
        }
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void oneMemberThatIsDoneCompletesTheWholeGang() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(end("a", 0, 1, 1, TerminalStatus.DONE));
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void failuresOfSeveralMembersInOneGangRunCountOnce() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(end("a", 0, 0, 1, TerminalStatus.FAILED));
        state.apply(end("a", 0, 1, 1, TerminalStatus.FAILED));
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        assertThat(state.pendingSteps()).hasSize(1);
    }

    @Test
    void aGangIsRestartedOnlyAfterAllItsRunsHaveEnded() {
        state.apply(job("a", step(2, List.of(), StepTrait.GANG)));
        state.apply(start("a", 0, 0, 1));
        state.apply(start("a", 0, 1, 1));
        state.apply(end("a", 0, 0, 1, TerminalStatus.BROKEN));
        assertThat(state.pendingSteps()).isEmpty();
        state.apply(end("a", 0, 1, 1, TerminalStatus.BROKEN));
        assertThat(state.pendingSteps()).hasSize(1);
        assertThat(state.pendingSteps().iterator().next().nextGangRunNumber()).isEqualTo(2);
    }

    @Test
    void aCancelledJobStartsNoRunsAndKeepsItsActiveRunsUntilTheyEnd() {
        state.apply(job("a", step(2, List.of())));
        state.apply(start("a", 0, 0, 1));
        assertThat(state.apply(new CancelJob("a"))).isEqualTo(CommandResult.APPLIED);
        assertThat(state.apply(start("a", 0, 1, 1))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.allocationsOf(HOST.id()).orElseThrow().runs()).hasSize(1);
        state.apply(end("a", 0, 0, 1, TerminalStatus.STOPPED));
        assertThat(state.allocationsOf(HOST.id())).isEmpty();
        assertThat(phase("a")).isEqualTo(JobPhase.CANCELLED);
    }

    @Test
    void submittingAKnownJobIdChangesNothing() {
        state.apply(job("a", step(1, List.of())));
        state.apply(new CancelJob("a"));
        assertThat(state.apply(job("a", step(1, List.of())))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(phase("a")).isEqualTo(JobPhase.CANCELLED);
    }

    @Test
    void occurrencesOfAPeriodicJobStartOneAtATime() {
        state.apply(job("a", new Recurrence(2, 5_000, 1_000), step(1, List.of())));
        assertThat(state.pendingSteps()).isEmpty();
        assertThat(state.periodicJobs()).hasSize(1);
        state.apply(new StartOccurrence("a", 0));
        startAndEnd(0, 0, TerminalStatus.DONE);
        assertThat(phase("a")).isEqualTo(JobPhase.RUNNING);
        assertThat(state.job("a").orElseThrow().nextOccurrence()).contains(1);
        state.apply(new StartOccurrence("a", 1));
        assertThat(state.periodicJobs()).isEmpty();
        RunId secondRun = new RunId(TaskId.of("a", 1, 0, 0), 1);
        state.apply(new WorkflowCommand.StartRun(new ActiveRun(secondRun, HOST, "")));
        state.apply(new WorkflowCommand.RecordTermination(secondRun, TerminalStatus.DONE, ""));
        assertThat(phase("a")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void aJobCountsAsQueuedUntilItStartsOrIsCancelled() {
        state.apply(job("a", step(1, List.of())));
        state.apply(job("b", step(1, List.of())));
        assertThat(state.queuedJobs("queue")).isEqualTo(2);
        state.apply(start("a", 0, 0, 1));
        state.apply(new CancelJob("b"));
        assertThat(state.queuedJobs("queue")).isZero();
    }

    @Test
    void aJobIsRemovedOnlyAfterItsRunsHaveEnded() {
        state.apply(job("a", step(1, List.of())));
        state.apply(start("a", 0, 0, 1));
        state.apply(new CancelJob("a"));
        assertThat(state.apply(new RemoveJob("a"))).isEqualTo(CommandResult.UNCHANGED);
        state.apply(end("a", 0, 0, 1, TerminalStatus.STOPPED));
        assertThat(state.apply(new RemoveJob("a"))).isEqualTo(CommandResult.APPLIED);
        assertThat(state.job("a")).isEmpty();
    }

    @Test
    void theSumsOverJobsAreThoseOfAWalkThroughThem() {
        Random random = new Random(7);
        for (int change = 0; change < 300; change++) {
            String id = "job-" + random.nextInt(40);
            switch (random.nextInt(4)) {
                case 0 -> state.apply(job(id, step(1 + random.nextInt(5), List.of(), StepTrait.LONG_RUNNING)));
                case 1 -> state.apply(job(id, step(1, List.of())));
                case 2 -> state.apply(new CancelJob(id));
                default -> state.apply(new RemoveJob(id));
            }
            assertThat(state.longRunningMillicores("pool")).isEqualTo(longRunningMillicoresOfUnfinishedJobs(state));
            assertThat(state.unfinishedJobTasks()).isEqualTo(tasksOfUnfinishedJobs(state));
        }
        WorkflowState restored = WorkflowState.from(state.snapshot());
        assertThat(restored.longRunningMillicores("pool")).isEqualTo(longRunningMillicoresOfUnfinishedJobs(state));
        assertThat(restored.unfinishedJobTasks()).isEqualTo(tasksOfUnfinishedJobs(state));
    }

    private static long tasksOfUnfinishedJobs(WorkflowState state) {
        return state.jobs().stream()
                .filter(job -> job.phase().isOpen())
                .flatMap(job -> job.steps().stream())
                .mapToLong(step -> step.specification().taskCount())
                .sum();
    }

    private static long longRunningMillicoresOfUnfinishedJobs(WorkflowState state) {
        return state.jobs().stream()
                .filter(job -> job.phase().isOpen())
                .mapToLong(job -> job.definition().longRunningMillicores())
                .sum();
    }

    @Test
    void theRemainingWorkShrinksAsTasksAreDone() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        assertThat(remainingWork()).isEqualTo(new RemainingWork(3_000, 1_200, 2_000));
        startAndEnd(0, 0, TerminalStatus.DONE);
        assertThat(remainingWork()).isEqualTo(new RemainingWork(2_000, 1_200, 2_000));
        startAndEnd(0, 1, TerminalStatus.DONE);
        assertThat(remainingWork()).isEqualTo(new RemainingWork(1_000, 600, 2_000));
    }

    private RemainingWork remainingWork() {
        return state.step(new StepId("a", 0, 1)).orElseThrow().remainingWorkOfOccurrence(RunTimeModel.empty());
    }

    @Test
    void aCheckpointIsKeptForTheNextRun() {
        state.apply(job("a", step(1, List.of(), StepTrait.CHECKPOINTING)));
        state.apply(start("a", 0, 0, 1));
        state.apply(new WorkflowCommand.RecordTermination(run("a", 0, 0, 1), TerminalStatus.HOST_LOST, "half"));
        StepProgress step = state.step(new StepId("a", 0, 0)).orElseThrow();
        assertThat(step.task(0).checkpoint()).isEqualTo("half");
        assertThat(step.task(0).lastRunNumber()).isEqualTo(1);
    }

    @Test
    void aStateRestoredFromASnapshotBehavesLikeTheOriginal() {
        state.apply(job("a", step(2, List.of()), step(1, List.of(0))));
        state.apply(job("t", new Recurrence(3, 5_000, 1_000), step(1, List.of())));
        startAndEnd(0, 0, TerminalStatus.DONE);
        state.apply(start("a", 0, 1, 1));
        WorkflowState restored = WorkflowState.from(state.snapshot());
        assertThat(restored.snapshot()).isEqualTo(state.snapshot());
        assertThat(restored.allocationsOf(HOST.id()).orElseThrow().allocated())
                .isEqualTo(state.allocationsOf(HOST.id()).orElseThrow().allocated());
        assertThat(restored.periodicJobs()).hasSize(1);
        restored.apply(end("a", 0, 1, 1, TerminalStatus.DONE));
        assertThat(restored.pendingSteps()).hasSize(1);
    }

    private void startAndEnd(int step, int index, TerminalStatus status) {
        state.apply(start("a", step, index, 1));
        state.apply(end("a", step, index, 1, status));
    }

    private JobPhase phase(String id) {
        return state.job(id).orElseThrow().phase();
    }
}
