package org.nettlering.domain.task;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;

class TaskStateTest {
    private static final long POWER_CAP_MILLIWATTS = 100_000;
    private static final Resources CAPACITY = Resources.of(8_000, 16_000, 1);
    private static final Resources REQUEST = Resources.of(2_000, 4_000, 0);

    private final TaskState state = TaskState.empty();
    private long nowMillis = 1_000;

    @BeforeEach
    void registerWorker() {
        register("worker-1", 1, List.of());
    }

    @Test
    void startBeyondWorkerCapacityIsRejected() {
        for (int number = 0; number < 4; number++) {
            submitAndStart("job-" + number);
        }
        submit("one-too-many");

        assertThat(start("one-too-many", "worker-1", 10_000).isAccepted()).isFalse();
        assertThat(worker().allocated()).isEqualTo(Resources.of(8_000, 16_000, 0));
    }

    @Test
    void startBeyondPowerCapIsRejected() {
        submit("job");

        assertThat(start("job", "worker-1", POWER_CAP_MILLIWATTS + 1).isAccepted())
                .isFalse();
        assertThat(state.allocatedMilliwatts()).isZero();
    }

    @Test
    void placedTaskIsNotStartedAgain() {
        register("worker-2", 1, List.of());
        submitAndStart("job");

        assertThat(start("job", "worker-2", 10_000).isAccepted()).isFalse();
        assertThat(task("job").workerId()).isEqualTo("worker-1");
    }

    @Test
    void cancellingPendingJobRejectsLaterStart() {
        submit("job");
        cancel("job");

        assertThat(start("job", "worker-1", 10_000).isAccepted()).isFalse();
        assertThat(task("job").phase()).isEqualTo(TaskPhase.CANCELLED);
    }

    @Test
    void cancellingPlacedJobKeepsAllocationUntilTerminationIsReported() {
        submitAndStart("job");
        cancel("job");
        assertThat(task("job").phase()).isEqualTo(TaskPhase.CANCELLING);
        assertThat(worker().allocated()).isEqualTo(REQUEST);

        recordTermination("job", 1, TerminationReason.STOPPED, 0);

        assertThat(task("job").phase()).isEqualTo(TaskPhase.CANCELLED);
        assertThat(worker().allocated()).isEqualTo(Resources.NONE);
    }

    @Test
    void completionDuringCancellationMarksJobDone() {
        submitAndStart("job");
        cancel("job");

        recordTermination("job", 1, TerminationReason.COMPLETED, 0);

        assertThat(task("job").phase()).isEqualTo(TaskPhase.DONE);
    }

    @Test
    void terminationOfEarlierEpochIsRejected() {
        submitAndStart("job");
        recordTermination("job", 1, TerminationReason.LEASE_EXPIRED, 0);
        start("job", "worker-1", 10_000);

        assertThat(recordTermination("job", 1, TerminationReason.COMPLETED, 9).isAccepted())
                .isFalse();
        assertThat(task("job").phase()).isEqualTo(TaskPhase.RESUMING);
        assertThat(task("job").checkpoint()).isZero();
    }

    @Test
    void duplicateTerminationIsRejected() {
        submitAndStart("job");
        recordTermination("job", 1, TerminationReason.COMPLETED, 0);

        assertThat(recordTermination("job", 1, TerminationReason.FAILED, 0).isAccepted())
                .isFalse();
        assertThat(task("job").phase()).isEqualTo(TaskPhase.DONE);
    }

    @Test
    void evictedTaskResumesOnceFromLastRecordedCheckpoint() {
        submitAndStart("job");
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 7));
        apply(new TaskCommand.Evict(nowMillis, "job", 1, 1_000, "test", ""));
        recordTermination("job", 1, TerminationReason.STOPPED, 8);
        assertThat(apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 99))
                        .isAccepted())
                .isFalse();

        start("job", "worker-1", 10_000);

        assertThat(task("job").epoch()).isEqualTo(2);
        assertThat(task("job").resumeCheckpoint()).isEqualTo(8);
        assertThat(task("job").evictions()).isEqualTo(1);
        assertThat(start("job", "worker-1", 10_000).isAccepted()).isFalse();
    }

    @Test
    void lateCheckpointDoesNotReplaceNewerOne() {
        submitAndStart("job");
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 7));
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 3));

        assertThat(task("job").checkpoint()).isEqualTo(7);
    }

    @Test
    void restartedWorkerKeepsOnlyTasksReportedAsRunning() {
        submitAndStart("kept");
        submitAndStart("gone");

        register("worker-1", 2, List.of(new TaskEpoch("kept", 1)));

        assertThat(task("kept").phase().isPlaced()).isTrue();
        assertThat(task("gone").phase()).isEqualTo(TaskPhase.EVICTED);
    }

    @Test
    void repeatedRegistrationOfSameIncarnationReleasesNoTask() {
        submitAndStart("job");

        register("worker-1", 1, List.of());

        assertThat(task("job").phase().isPlaced()).isTrue();
    }

    @Test
    void lossOfEarlierSessionIsRejected() {
        submitAndStart("job");
        long previous = worker().session();
        register("worker-1", 1, List.of());

        assertThat(apply(new TaskCommand.MarkWorkerLost(nowMillis, "worker-1", previous))
                        .isAccepted())
                .isFalse();
        assertThat(task("job").phase().isPlaced()).isTrue();
    }

    @Test
    void lowerSpeedReleasesPowerOnlyAfterConfirmation() {
        submitAndStart("job");
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));
        assertThat(state.allocatedMilliwatts()).isEqualTo(10_000);

        apply(new TaskCommand.ConfirmThrottle(nowMillis, "job", 1, task("job").throttleVersion()));

        assertThat(state.allocatedMilliwatts()).isEqualTo(5_000);
    }

    @Test
    void confirmationOfOutdatedThrottleIsRejected() {
        submitAndStart("job");
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));
        long previous = task("job").throttleVersion();
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 100, "test", ""));
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));

        assertThat(apply(new TaskCommand.ConfirmThrottle(nowMillis, "job", 1, previous))
                        .isAccepted())
                .isFalse();
        assertThat(state.allocatedMilliwatts()).isEqualTo(10_000);
    }

    @Test
    void higherSpeedAllocatesPowerImmediatelyWithinCap() {
        submitAndStart("job");
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 50, "test", ""));
        apply(new TaskCommand.ConfirmThrottle(nowMillis, "job", 1, task("job").throttleVersion()));

        assertThat(state.apply(new TaskCommand.Throttle(nowMillis, "job", 1, 100, "test", ""), 9_000)
                        .isAccepted())
                .isFalse();
        apply(new TaskCommand.Throttle(nowMillis, "job", 1, 100, "test", ""));

        assertThat(state.allocatedMilliwatts()).isEqualTo(10_000);
    }

    @Test
    void resubmissionIsAcceptedOnlyForSameOperation() {
        submit("job");

        assertThat(submit("job").isAccepted()).isTrue();
        assertThat(apply(new TaskCommand.Submit(nowMillis, "another operation", specification("job")))
                        .errorCode())
                .contains(ErrorCode.OPERATION_REUSED);
    }

    @Test
    void resubmissionOfRemovedFinishedJobIsRejected() {
        submitAndStart("first");
        recordTermination("first", 1, TerminationReason.COMPLETED, 0);
        for (int number = 0; number <= FinishedJobs.MAX_DETAILED_JOBS; number++) {
            submit("job-" + number);
            cancel("job-" + number);
        }
        assertThat(state.task("first")).isEmpty();

        assertThat(submit("first").errorCode()).contains(ErrorCode.OPERATION_REUSED);
    }

    @Test
    void newestTasksAreEvictedWhenWorkerCapacityShrinks() {
        submitAndStart("first");
        nowMillis++;
        submitAndStart("second");

        apply(new TaskCommand.RegisterWorker(
                nowMillis,
                "worker-1",
                2,
                REQUEST,
                "rack",
                "domain",
                0,
                List.of(new TaskEpoch("first", 1), new TaskEpoch("second", 1))));

        assertThat(task("first").phase()).isEqualTo(TaskPhase.STARTING);
        assertThat(task("second").phase()).isEqualTo(TaskPhase.CHECKPOINTING);
    }

    @Test
    void snapshotRestoresEqualState() {
        submitAndStart("job");
        submit("waiting");
        submitAndStart("done");
        recordTermination("done", 1, TerminationReason.COMPLETED, 0);

        TaskState restored = TaskState.fromSnapshot(state.snapshot());

        assertThat(restored.snapshot()).isEqualTo(state.snapshot());
        assertThat(restored.allocatedMilliwatts()).isEqualTo(state.allocatedMilliwatts());
        assertThat(restored.worker("worker-1").orElseThrow().allocated()).isEqualTo(worker().allocated());
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

    private TaskCommandResult submit(String jobId) {
        return apply(new TaskCommand.Submit(nowMillis, "submit " + jobId, specification(jobId)));
    }

    private void submitAndStart(String jobId) {
        submit(jobId);
        assertThat(start(jobId, "worker-1", 10_000).isAccepted()).isTrue();
    }

    private TaskCommandResult start(String jobId, String workerId, long milliwatts) {
        return apply(new TaskCommand.Start(nowMillis, jobId, workerId, REQUEST, milliwatts, 100, "test", ""));
    }

    private void cancel(String jobId) {
        apply(new TaskCommand.Cancel(nowMillis, "cancel " + jobId, jobId));
    }

    private TaskCommandResult recordTermination(String jobId, long epoch, TerminationReason reason, long checkpoint) {
        return apply(new TaskCommand.RecordTermination(nowMillis, jobId, epoch, reason, checkpoint, ""));
    }

    private TaskCommandResult apply(TaskCommand command) {
        return state.apply(command, POWER_CAP_MILLIWATTS);
    }

    private static JobSpecification specification(String jobId) {
        return new JobSpecification(jobId, "team", "profile", "", "class", REQUEST, 10_000, 60_000, 0, false);
    }
}
