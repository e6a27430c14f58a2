package org.nettlering.domain.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.EndReason;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;

class ReportReaderTest {
    private static final Resources CAPACITY = Resources.of(8_000, 8_000, 0);

    private final TaskState state = TaskState.empty();
    private final long nowMillis = 50_000;

    @BeforeEach
    void startATask() {
        ReportReader.commandsToPropose(state, report(1, List.of(), List.of()), nowMillis)
                .forEach(this::apply);
        JobSpecification job = new JobSpecification(
                "job", "team", "profile", "", "class", Resources.of(1_000, 1_000, 0), 100, 0, 0, false);
        apply(new TaskCommand.Submit(nowMillis, "submit", job));
        apply(new TaskCommand.Start(nowMillis, "job", "worker-1", job.declared(), 100, 100, "test", ""));
    }

    @Test
    void aTaskThatWasNotReportedIsStartedAgainAndAgain() {
        assertThat(commands(report(1, List.of(), List.of()))).singleElement().isInstanceOf(WorkerCommand.Start.class);
        assertThat(ReportReader.commandsToPropose(state, report(1, List.of(), List.of()), nowMillis))
                .isEmpty();
    }

    @Test
    void aTaskThatIsToStopBeforeItWasReportedGetsAStopNotAStart() {
        apply(new TaskCommand.Cancel(nowMillis, "cancel", "job"));

        assertThat(commands(report(1, List.of(), List.of()))).containsExactly(new WorkerCommand.Stop("job", 1));
    }

    @Test
    void aTaskOfAnotherEpochIsStopped() {
        assertThat(commands(report(1, List.of(running("job", 7, 1, 0)), List.of())))
                .contains(new WorkerCommand.Stop("job", 7));
    }

    @Test
    void aTaskThatIsNotKnownIsStopped() {
        assertThat(commands(report(1, List.of(running("stranger", 1, 1, 0)), List.of())))
                .contains(new WorkerCommand.Stop("stranger", 1));
    }

    @Test
    void aTaskThatIsToBeEvictedWritesACheckpointBeforeItStops() {
        apply(new TaskCommand.RecordProgress(nowMillis, "job", 1, 0));
        apply(new TaskCommand.Evict(nowMillis, "job", 1, 5_000, "test", ""));
        WorkerReport before = report(1, List.of(running("job", 1, 1, 0)), List.of());
        assertThat(commands(before)).containsExactly(new WorkerCommand.Checkpoint("job", 1));

        apply(new TaskCommand.RecordProgress(nowMillis + 1, "job", 1, 1));

        assertThat(commands(report(1, List.of(running("job", 1, 1, 1)), List.of())))
                .containsExactly(new WorkerCommand.Stop("job", 1));
    }

    @Test
    void aTaskThatWritesNoCheckpointStopsAfterItsGrace() {
        apply(new TaskCommand.Evict(nowMillis - 6_000, "job", 1, 5_000, "test", ""));

        assertThat(commands(report(1, List.of(running("job", 1, 1, 0)), List.of())))
                .containsExactly(new WorkerCommand.Stop("job", 1));
    }

    @Test
    void anEndIsProposedOnceAndAcknowledgedWhenItIsRecorded() {
        WorkerReport report =
                report(1, List.of(), List.of(new WorkerReport.Ended("job", 1, EndReason.COMPLETED, 0, "")));
        List<TaskCommand> proposals = ReportReader.commandsToPropose(state, report, nowMillis);
        assertThat(proposals).singleElement().isInstanceOf(TaskCommand.RecordEnd.class);
        assertThat(commands(report)).isEmpty();

        proposals.forEach(this::apply);

        assertThat(ReportReader.commandsToPropose(state, report, nowMillis)).isEmpty();
        assertThat(commands(report)).containsExactly(new WorkerCommand.Acknowledge("job", 1));
    }

    @Test
    void aReportOfAnEarlierIncarnationRegistersNothing() {
        ReportReader.commandsToPropose(state, report(2, List.of(), List.of()), nowMillis)
                .forEach(this::apply);

        assertThat(ReportReader.commandsToPropose(state, report(1, List.of(), List.of()), nowMillis))
                .isEmpty();
    }

    private List<WorkerCommand> commands(WorkerReport report) {
        return ReportReader.commandsForWorker(state, report, nowMillis);
    }

    private void apply(TaskCommand command) {
        assertThat(state.apply(command, 1_000_000).message()).isEmpty();
    }

    private static WorkerReport.Running running(String jobId, long epoch, long throttleVersion, long checkpoint) {
        return new WorkerReport.Running(jobId, epoch, throttleVersion, checkpoint);
    }

    private static WorkerReport report(
            long incarnation, List<WorkerReport.Running> running, List<WorkerReport.Ended> ended) {
        return new WorkerReport("worker-1", incarnation, 1, CAPACITY, "rack", "domain", 0, running, ended, List.of());
    }
}
