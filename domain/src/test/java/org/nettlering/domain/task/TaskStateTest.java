package org.nettlering.domain.task;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;

class TaskStateTest {
    private static final long CAP = 100_000;
    private static final Resources CAPACITY = Resources.of(8_000, 16_000, 1);
    private static final Resources SIZE = Resources.of(2_000, 4_000, 0);

    private final TaskState state = TaskState.empty();
    private long nowMillis = 1_000;

    @BeforeEach
    void registerAWorker() {
        register("worker-1", 1, List.of());
    }

    @Test
    void aStartBeyondTheWorkersProcessorsIsRefused() {
        for (int number = 0; number < 4; number++) {
            submitAndStart("job-" + number);
        }
        submit("one-too-many");

        assertThat(start("one-too-many", "worker-1", 10_000).isAccepted()).isFalse();
        assertThat(worker().committed()).isEqualTo(Resources.of(8_000, 16_000, 0));
    }

    @Test
    void aStartBeyondTheCapIsRefused() {
        submit("job");

        assertThat(start("job", "worker-1", CAP + 1).isAccepted()).isFalse();
        assertThat(state.committedMilliwatts()).isZero();
    }

    @Test
    void aTaskThatIsPlacedIsNotStartedAgain() {
        register("worker-2", 1, List.of());
        submitAndStart("job");

        assertThat(start("job", "worker-2", 10_000).isAccepted()).isFalse();
        assertThat(task("job").workerId()).isEqualTo("worker-1");
    }

    @Test
    void aCancelBeforeTheStartEndsTheJobAndTheStartIsRefused() {
        submit("job");
        cancel("job");

        assertThat(start("job", "worker-1", 10_000).isAccepted()).isFalse();
        assertThat(task("job").phase()).isEqualTo(TaskPhase.CANCELLED);
    }

    @Test
    void aCancelAfterTheStartHoldsTheCommitmentUntilTheWorkerProvesTheEnd() {
        submitAndStart("job");
        cancel("job");
        assertThat(task("job").phase()).isEqualTo(TaskPhase.CANCELLING);
        assertThat(worker().committed()).isEqualTo(SIZE);

        end("job", 1, EndReason.STOPPED, 0);

        assertThat(task("job").phase()).isEqualTo(TaskPhase.CANCELLED);
        assertThat(worker().committed()).isEqualTo(Resources.NONE);
    }

    @Test
    void aJobThatCompletedBeforeItsCancellationReachedItIsDone() {
        submitAndStart("job");
        cancel("job");

        end("job", 1, EndReason.COMPLETED, 0);

        assertThat(task("job").phase()).isEqualTo(TaskPhase.DONE);
    }

    @Test
    void anEndOfAnEarlierEpochChangesNothing() {
        submitAndStart("job");
        end("job", 1, EndReason.LEASE_EXPIRED, 0);
        start("job", "worker-1", 10_000);

        assertThat(end("job", 1, EndReason.COMPLETED, 9).isAccepted()).isFalse();
        assertThat(task("job").phase()).isEqualTo(TaskPhase.RESUMING);
        assertThat(task("job").checkpoint()).isZero();
    }

    @Test
    void anEndReportedTwiceChangesNothingTheSecondTime() {
        submitAndStart("job");
        end("job", 1, EndReason.COMPLETED, 0);

        assertThat(end("job", 1, EndReason.FAILED, 0).isAccepted()).isFalse();
        assertThat(task("job").phase()).isEqualTo(TaskPhase.DONE);
    }

    @Test
    void evictedWorkResumesOnceFromItsLastRecordedCheckpoint() {
        submitAndStart("job");
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 7));
        apply(new TaskCommand.Evict(nowMillis, "job", 1, 1_000, "test", ""));
        end("job", 1, EndReason.STOPPED, 8);
        assertThat(apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 99))
                        .isAccepted())
                .isFalse();

        start("job", "worker-1", 10_000);

        assertThat(task("job").epoch()).isEqualTo(2);
        assertThat(task("job").resumedFrom()).isEqualTo(8);
        assertThat(task("job").evictions()).isEqualTo(1);
        assertThat(start("job", "worker-1", 10_000).isAccepted()).isFalse();
    }

    @Test
    void aCheckpointReportedLateDoesNotTurnTheRecordedOneBack() {
        submitAndStart("job");
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 7));
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 3));

        assertThat(task("job").checkpoint()).isEqualTo(7);
    }

    @Test
    void aRestartedWorkerKeepsOnlyTheTasksThatItListsAsRunning() {
        submitAndStart("kept");
        submitAndStart("gone");

        register("worker-1", 2, List.of(new TaskEpoch("kept", 1)));

        assertThat(task("kept").phase().isPlaced()).isTrue();
        assertThat(task("gone").phase()).isEqualTo(TaskPhase.EVICTED);
    }

    @Test
    void aRegistrationOfTheSameIncarnationReleasesNothing() {
        submitAndStart("job");

        register("worker-1", 1, List.of());

        assertThat(task("job").phase().isPlaced()).isTrue();
    }

    @Test
    void theLossOfAnEarlierSessionChangesNothing() {
        submitAndStart("job");
        long earlier = worker().session();
        register("worker-1", 1, List.of());

        assertThat(apply(new TaskCommand.LoseWorker(nowMillis, "worker-1", earlier))
                        .isAccepted())
                .isFalse();
        assertThat(task("job").phase().isPlaced()).isTrue();
    }

    @Test
    void aLowerSpeedFreesPowerOnlyOnceTheWorkerProvesIt() {
        submitAndStart("job");
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));
        assertThat(state.committedMilliwatts()).isEqualTo(10_000);

        apply(new TaskCommand.ConfirmThrottle(nowMillis, "job", 1, task("job").throttleVersion()));

        assertThat(state.committedMilliwatts()).isEqualTo(5_000);
    }

    @Test
    void aConfirmationOfAnEarlierSpeedFreesNothing() {
        submitAndStart("job");
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));
        long earlier = task("job").throttleVersion();
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 100, "test", ""));
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));

        assertThat(apply(new TaskCommand.ConfirmThrottle(nowMillis, "job", 1, earlier))
                        .isAccepted())
                .isFalse();
        assertThat(state.committedMilliwatts()).isEqualTo(10_000);
    }

    @Test
    void aHigherSpeedCommitsItsPowerAtOnceAndOnlyUnderTheCap() {
        submitAndStart("job");
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));
        apply(new TaskCommand.ConfirmThrottle(nowMillis, "job", 1, task("job").throttleVersion()));

        assertThat(state.apply(new TaskCommand.Throttle(nowMillis, "job", 1, 100, "test", ""), 9_000)
                        .isAccepted())
                .isFalse();
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 100, "test", ""));

        assertThat(state.committedMilliwatts()).isEqualTo(10_000);
    }

    @Test
    void aResentSubmissionIsAcceptedAndAnotherJobOfTheSameNameIsNot() {
        submit("job");

        assertThat(submit("job").isAccepted()).isTrue();
        assertThat(apply(new TaskCommand.Submit(nowMillis, "another operation", specification("job")))
                        .errorCode())
                .contains(ErrorCode.OPERATION_REUSED);
    }

    @Test
    void aResendOfAJobThatEndedLongAgoDoesNotRunItAgain() {
        submitAndStart("first");
        end("first", 1, EndReason.COMPLETED, 0);
        for (int number = 0; number <= FinishedJobs.KEPT_DETAILS; number++) {
            submit("job-" + number);
            cancel("job-" + number);
        }
        assertThat(state.task("first")).isEmpty();

        assertThat(submit("first").errorCode()).contains(ErrorCode.OPERATION_REUSED);
    }

    @Test
    void aWorkerThatComesBackSmallerSheds() {
        submitAndStart("first");
        nowMillis++;
        submitAndStart("second");

        apply(new TaskCommand.RegisterWorker(
                nowMillis,
                "worker-1",
                2,
                SIZE,
                "rack",
                "domain",
                0,
                List.of(new TaskEpoch("first", 1), new TaskEpoch("second", 1))));

        assertThat(task("first").phase()).isEqualTo(TaskPhase.STARTING);
        assertThat(task("second").phase()).isEqualTo(TaskPhase.CHECKPOINTING);
    }

    @Test
    void anImageRestoresTheSameState() {
        submitAndStart("job");
        submit("waiting");
        submitAndStart("done");
        end("done", 1, EndReason.COMPLETED, 0);

        TaskState restored = TaskState.from(state.image());

        assertThat(restored.image()).isEqualTo(state.image());
        assertThat(restored.committedMilliwatts()).isEqualTo(state.committedMilliwatts());
        assertThat(restored.worker("worker-1").orElseThrow().committed()).isEqualTo(worker().committed());
    }

    private Task task(String jobId) {
        return state.task(jobId).orElseThrow();
    }

    private Worker worker() {
        return state.worker("worker-1").orElseThrow();
    }

    private void register(String workerId, long incarnation, List<TaskEpoch> running) {
        apply(new TaskCommand.RegisterWorker(nowMillis, workerId, incarnation, CAPACITY, "rack", "domain", 0, running));
    }

    private CommandOutcome submit(String jobId) {
        return apply(new TaskCommand.Submit(nowMillis, "submit " + jobId, specification(jobId)));
    }

    private void submitAndStart(String jobId) {
        submit(jobId);
        assertThat(start(jobId, "worker-1", 10_000).isAccepted()).isTrue();
    }

    private CommandOutcome start(String jobId, String workerId, long milliwatts) {
        return apply(new TaskCommand.Start(nowMillis, jobId, workerId, SIZE, milliwatts, 100, "test", ""));
    }

    private void cancel(String jobId) {
        apply(new TaskCommand.Cancel(nowMillis, "cancel " + jobId, jobId));
    }

    private CommandOutcome end(String jobId, long epoch, EndReason reason, long checkpoint) {
        return apply(new TaskCommand.RecordEnd(nowMillis, jobId, epoch, reason, checkpoint, ""));
    }

    private CommandOutcome apply(TaskCommand command) {
        return state.apply(command, CAP);
    }

    private static JobSpecification specification(String jobId) {
        return new JobSpecification(jobId, "team", "profile", "", "class", SIZE, 10_000, 60_000, 0, false);
    }
}
