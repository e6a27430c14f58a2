package org.nettlering.domain.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.task.TerminationReason;

class WorkerReportReconcilerTest {
    private static final Resources CAPACITY = Resources.of(8_000, 8_000, 0);

    private final TaskState state = TaskState.empty();
    private final long nowMillis = 50_000;

    @BeforeEach
    void startTask() {
        WorkerReportReconciler.commandsToPropose(state, report(1, List.of(), List.of()), nowMillis)
                .forEach(this::apply);
        JobSpecification job = new JobSpecification(
                "job", "team", "profile", "", "class", Resources.of(1_000, 1_000, 0), 100, 0, 0, false);
        apply(new TaskCommand.Submit(nowMillis, "submit", job));
        apply(new TaskCommand.Start(nowMillis, "job", "worker-1", job.declaredResources(), 100, 100, "test", ""));
    }

    @Test
    void unreportedTaskIsStartedOnEveryReport() {
        assertThat(commandsForWorker(report(1, List.of(), List.of())))
                .singleElement()
                .isInstanceOf(WorkerCommand.Start.class);
        assertThat(WorkerReportReconciler.commandsToPropose(state, report(1, List.of(), List.of()), nowMillis))
                .isEmpty();
    }

    @Test
    void cancelledUnreportedTaskIsStopped() {
        apply(new TaskCommand.Cancel(nowMillis, "cancel", "job"));

        assertThat(commandsForWorker(report(1, List.of(), List.of())))
                .containsExactly(new WorkerCommand.Stop("job", 1));
    }

    @Test
    void taskOfOtherEpochIsStopped() {
        assertThat(commandsForWorker(report(1, List.of(running("job", 7, 1, 0)), List.of())))
                .contains(new WorkerCommand.Stop("job", 7));
    }

    @Test
    void unknownTaskIsStopped() {
        assertThat(commandsForWorker(report(1, List.of(running("stranger", 1, 1, 0)), List.of())))
                .contains(new WorkerCommand.Stop("stranger", 1));
    }

    @Test
    void evictedTaskIsStoppedAfterWritingCheckpoint() {
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 0));
        apply(new TaskCommand.Evict(nowMillis, "job", 1, 5_000, "test", ""));
        WorkerReport runningReport = report(1, List.of(running("job", 1, 1, 0)), List.of());
        assertThat(commandsForWorker(runningReport)).containsExactly(new WorkerCommand.Checkpoint("job", 1));

        apply(new TaskCommand.RecordProgress(nowMillis + 1, "job", 1, 1));

        assertThat(commandsForWorker(report(1, List.of(running("job", 1, 1, 1)), List.of())))
                .containsExactly(new WorkerCommand.Stop("job", 1));
    }

    @Test
    void evictedTaskWithoutCheckpointIsStoppedAfterGrace() {
        apply(new TaskCommand.Evict(nowMillis - 6_000, "job", 1, 5_000, "test", ""));

        assertThat(commandsForWorker(report(1, List.of(running("job", 1, 1, 0)), List.of())))
                .containsExactly(new WorkerCommand.Stop("job", 1));
    }

    @Test
    void terminationIsAcknowledgedAfterItIsRecorded() {
        WorkerReport report = report(
                1, List.of(), List.of(new WorkerReport.Terminated("job", 1, TerminationReason.COMPLETED, 0, "")));
        List<TaskCommand> proposals = WorkerReportReconciler.commandsToPropose(state, report, nowMillis);
        assertThat(proposals).singleElement().isInstanceOf(TaskCommand.RecordTermination.class);
        assertThat(commandsForWorker(report)).isEmpty();

        proposals.forEach(this::apply);

        assertThat(WorkerReportReconciler.commandsToPropose(state, report, nowMillis))
                .isEmpty();
        assertThat(commandsForWorker(report)).containsExactly(new WorkerCommand.Acknowledge("job", 1));
    }

    @Test
    void reportOfEarlierIncarnationDoesNotRegister() {
        WorkerReportReconciler.commandsToPropose(state, report(2, List.of(), List.of()), nowMillis)
                .forEach(this::apply);

        assertThat(WorkerReportReconciler.commandsToPropose(state, report(1, List.of(), List.of()), nowMillis))
                .isEmpty();
    }

    private List<WorkerCommand> commandsForWorker(WorkerReport report) {
        return WorkerReportReconciler.commandsForWorker(state, report, nowMillis);
    }

    private void apply(TaskCommand command) {
        assertThat(state.apply(command, 1_000_000).message()).isEmpty();
    }

    private static WorkerReport.Running running(String jobId, long epoch, long throttleVersion, long checkpoint) {
        return new WorkerReport.Running(jobId, epoch, throttleVersion, checkpoint);
    }

    private static WorkerReport report(
            long incarnation, List<WorkerReport.Running> running, List<WorkerReport.Terminated> terminated) {
        return new WorkerReport(
                "worker-1", incarnation, 1, CAPACITY, "rack", "domain", 0, running, terminated, List.of());
    }
}
