package org.nettlering.control.task;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletionException;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.placement.FirstFitPlanner;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.TaskProto;
import org.nettlering.wire.proto.TaskProto.JobStatus;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.TaskResponse;
import org.nettlering.wire.proto.TaskProto.WorkerReport;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;

class TaskServiceTest {
    private static final String TRACE = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final TaskPart part = TaskPart.create(() -> 1_000_000);
    private final DirectLog log = new DirectLog(part);
    private final SiteConfiguration configuration = SiteConfiguration.of(
            1, List.of(new Profile("letters", 50, Interruption.EVICT, 50)), List.of(), List.of(), 1_000_000);
    private final TaskService service =
            TaskService.start(log, part, time, () -> configuration, FirstFitPlanner::create, TaskListener.NONE);
    private long sequence;

    @AfterEach
    void stopTheLoop() {
        service.close();
    }

    @Test
    void aJobGoesFromSubmissionToDoneAndExplainsEachStep() {
        report(1);
        assertThat(report(1).getLeaseMillis()).isPositive();
        assertThat(submit("letter-1").getState()).isEqualTo("pending");
        tick();

        WorkerReportResponse response = report(1);
        assertThat(response.getCommandsList()).hasSize(1);
        TaskProto.WorkerCommand command = response.getCommands(0);
        assertThat(command.getStart().getJob().getJobId()).isEqualTo("letter-1");
        assertThat(command.getTraceparent()).isEqualTo(TRACE);
        report(1, running("letter-1", 1));
        assertThat(show("letter-1").getState()).isEqualTo("running");
        report(1, ended("letter-1", 1, TaskProto.EndReason.COMPLETED));

        JobStatus status = show("letter-1");
        assertThat(status.getState()).isEqualTo("done");
        assertThat(status.getDecisionsList())
                .extracting(TaskProto.Decision::getWhat)
                .containsExactly(
                        "submitted", "start on worker-1, epoch 1, checkpoint 0", "running on worker-1", "done");
        assertThat(report(1, ended("letter-1", 1, TaskProto.EndReason.COMPLETED))
                        .getCommandsList())
                .extracting(TaskProto.WorkerCommand::hasAcknowledge)
                .containsExactly(true);
    }

    @Test
    void aStartIsRepeatedUntilTheWorkerReportsIt() {
        report(1);
        submit("letter-1");
        tick();

        assertThat(report(1).getCommandsList()).hasSize(1);
        assertThat(report(1).getCommandsList()).hasSize(1);
    }

    @Test
    void aLeaderThatCannotConfirmItsLeadershipRenewsNoLease() {
        report(1);
        log.confirm(false);

        assertRefusedAsNotLeader(reportRequest(1).build());
    }

    @Test
    void aMemberThatDoesNotLeadRefuses() {
        log.lead(false);

        assertRefusedAsNotLeader(reportRequest(1).build());
    }

    @Test
    void aSilentWorkerLosesItsTasksOnlyAfterLeaseAndDriftBound() {
        report(1);
        submit("letter-1");
        tick();
        report(1, running("letter-1", 1));

        time.advance(Duration.ofMillis(10_400));
        assertThat(show("letter-1").getState()).isEqualTo("running");
        time.advance(Duration.ofMillis(300));

        assertThat(show("letter-1").getState()).isEqualTo("evicted");
    }

    @Test
    void aNewLeaderWaitsForTheWholeLeaseBeforeItTreatsAWorkerAsLost() {
        report(1);
        submit("letter-1");
        tick();
        report(1, running("letter-1", 1));
        time.advance(Duration.ofSeconds(9));
        log.lead(true);

        time.advance(Duration.ofSeconds(10));
        assertThat(show("letter-1").getState()).isEqualTo("running");
        time.advance(Duration.ofSeconds(1));

        assertThat(show("letter-1").getState()).isEqualTo("evicted");
    }

    @Test
    void aWorkerThatComesBackAfterItsLeaseEndedStopsItsOldTask() {
        report(1);
        submit("letter-1");
        tick();
        report(1, running("letter-1", 1));
        time.advance(Duration.ofSeconds(11));

        report(1, running("letter-1", 1));
        WorkerReportResponse response = report(1, running("letter-1", 1));

        assertThat(response.getCommandsList().stream()
                        .filter(TaskProto.WorkerCommand::hasStop)
                        .map(command -> command.getStop().getEpoch()))
                .containsExactly(1L);
    }

    @Test
    void theStateSurvivesASnapshot() {
        report(1);
        submit("letter-1");
        tick();
        SiteSnapshot.Builder snapshot = SiteSnapshot.newBuilder();
        part.save(snapshot);
        TaskPart restored = TaskPart.create(() -> 1_000_000);

        restored.restore(snapshot.build());

        SiteSnapshot.Builder again = SiteSnapshot.newBuilder();
        restored.save(again);
        assertThat(again.build()).isEqualTo(snapshot.build());
        assertThat(restored.<Long>read(state -> state.allocatedMilliwatts()))
                .isEqualTo(part.<Long>read(state -> state.allocatedMilliwatts()));
    }

    private void assertRefusedAsNotLeader(TaskRequest request) {
        assertThatThrownBy(() -> call(request))
                .isInstanceOf(CompletionException.class)
                .cause()
                .isInstanceOf(NettleringException.class)
                .extracting(cause -> ((NettleringException) cause).code())
                .isEqualTo(ErrorCode.NOT_LEADER);
    }

    private void tick() {
        time.advance(Duration.ofMillis(100));
    }

    private JobStatus submit(String jobId) {
        return call(TaskRequest.newBuilder()
                        .setSubmit(TaskProto.SubmitJob.newBuilder()
                                .setOperationId("submit " + jobId)
                                .setJob(TaskProto.JobSpecification.newBuilder()
                                        .setJobId(jobId)
                                        .setProfile("letters")
                                        .setWorkClass("letter")
                                        .setPowerMilliwatts(10_000)
                                        .setDeclared(TaskProto.Resources.newBuilder()
                                                .setMillicores(1_000)
                                                .setMemoryMebibytes(512))))
                        .build())
                .getJob();
    }

    private JobStatus show(String jobId) {
        return call(TaskRequest.newBuilder()
                        .setShow(TaskProto.ShowJob.newBuilder().setJobId(jobId))
                        .build())
                .getJob();
    }

    private WorkerReportResponse report(long incarnation) {
        return call(reportRequest(incarnation).build()).getReport();
    }

    private WorkerReportResponse report(long incarnation, TaskProto.RunningTask running) {
        TaskRequest.Builder request = reportRequest(incarnation);
        request.getReportBuilder().addRunning(running);
        return call(request.build()).getReport();
    }

    private WorkerReportResponse report(long incarnation, TaskProto.EndedTask ended) {
        TaskRequest.Builder request = reportRequest(incarnation);
        request.getReportBuilder().addEnded(ended);
        return call(request.build()).getReport();
    }

    private TaskRequest.Builder reportRequest(long incarnation) {
        return TaskRequest.newBuilder()
                .setReport(WorkerReport.newBuilder()
                        .setWorkerId("worker-1")
                        .setIncarnation(incarnation)
                        .setSequence(++sequence)
                        .setCapacity(TaskProto.Resources.newBuilder()
                                .setMillicores(30_000)
                                .setMemoryMebibytes(125_000))
                        .setIdleMilliwatts(50_000));
    }

    private static TaskProto.RunningTask running(String jobId, long epoch) {
        return TaskProto.RunningTask.newBuilder()
                .setJobId(jobId)
                .setEpoch(epoch)
                .setThrottlePercent(100)
                .setThrottleVersion(epoch)
                .build();
    }

    private static TaskProto.EndedTask ended(String jobId, long epoch, TaskProto.EndReason reason) {
        return TaskProto.EndedTask.newBuilder()
                .setJobId(jobId)
                .setEpoch(epoch)
                .setReason(reason)
                .build();
    }

    private TaskResponse call(TaskRequest request) {
        return service.handle(Frame.newBuilder()
                        .setTaskRequest(request)
                        .setTraceparent(TRACE)
                        .build())
                .toCompletableFuture()
                .join()
                .getTaskResponse();
    }
}
