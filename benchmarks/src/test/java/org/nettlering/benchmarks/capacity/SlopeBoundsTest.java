package org.nettlering.benchmarks.capacity;

import static org.assertj.core.api.Assertions.assertThat;

import com.google.protobuf.InvalidProtocolBufferException;
import com.google.protobuf.util.JsonFormat;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.control.configuration.ConfigurationPart;
import org.nettlering.control.configuration.ConfigurationService;
import org.nettlering.control.task.TaskListener;
import org.nettlering.control.task.TaskPart;
import org.nettlering.control.task.TaskService;
import org.nettlering.domain.configuration.Interruption;
import org.nettlering.domain.configuration.Profile;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.placement.FirstFitPlanner;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.standins.upstream.UpstreamIdentity;
import org.nettlering.standins.worker.WorkerProfile;
import org.nettlering.standins.worker.WorkerTasks;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationRequest;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationUpdate;
import org.nettlering.wire.proto.ConfigurationProto.FetchConfiguration;
import org.nettlering.wire.proto.ConfigurationProto.Team;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.RequestProto.UpstreamState;
import org.nettlering.wire.proto.TaskProto.JobSpecification;
import org.nettlering.wire.proto.TaskProto.Resources;
import org.nettlering.wire.proto.TaskProto.SubmitJob;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;

/** The bounds of the slopes that docs/CAPACITY.md builds on, as counts of messages, bytes and log records. */
class SlopeBoundsTest {
    private static final int BYTES_PER_DAEMON_SECOND = 10_000;
    private static final int TASKS_PER_WORKER = 15;
    private static final int WORKERS = 20;
    private static final int TEAMS = 220;
    private static final long POWER_CAP_MILLIWATTS = 1_000_000_000L;

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final TaskPart part = TaskPart.create(() -> POWER_CAP_MILLIWATTS);
    private final CountingLog log = new CountingLog(part);
    private final SiteConfiguration site = SiteConfiguration.of(
            1, List.of(new Profile("batch", 20, Interruption.EVICT, 100)), List.of(), List.of(), POWER_CAP_MILLIWATTS);
    private final TaskService service =
            TaskService.start(log, part, time, () -> site, FirstFitPlanner::create, TaskListener.NONE);
    private final Map<Integer, WorkerTasks> workers = new HashMap<>();

    @AfterEach
    void stopTheLoop() {
        service.close();
    }

    @Test
    void aReportThatBringsNothingNewWritesNoLogRecord() {
        runTasksOnAllWorkers();
        int before = log.records();
        for (int round = 0; round < 5; round++) {
            reportFromAllWorkers();
        }

        assertThat(log.records()).isEqualTo(before);
    }

    @Test
    void startsThatAreDecidedTogetherShareLogRecords() {
        reportFromAllWorkers();
        submitTasks();
        int before = log.records();
        time.advance(Duration.ofSeconds(1));
        reportFromAllWorkers();
        reportFromAllWorkers();

        assertThat(part.<Integer>read(state -> state.tasks().size())).isEqualTo(WORKERS * TASKS_PER_WORKER);
        int naiveRecords = 2 * WORKERS * TASKS_PER_WORKER;
        assertThat(log.records() - before).isLessThan(naiveRecords / 2);
    }

    @Test
    void aWorkerWithItsTasksStaysWithinTheBytesOfADaemon() throws InvalidProtocolBufferException {
        runTasksOnAllWorkers();
        WorkerTasks worker = workers.computeIfAbsent(0, this::newWorker);
        int reportBytes = JsonFormat.printer().print(worker.nextReport()).length();

        assertThat(worker.nextReport().getRunningCount()).isEqualTo(TASKS_PER_WORKER);
        assertThat(reportBytes).isLessThan(BYTES_PER_DAEMON_SECOND);
    }

    @Test
    void anUpstreamStaysWithinTheBytesOfADaemon() throws InvalidProtocolBufferException {
        UpstreamIdentity identity =
                new UpstreamIdentity("portfolio", "portfolio-30", "127.0.0.1:65535", 8, 60, "domain-4", 1);

        int bytes = JsonFormat.printer()
                .print(identity.announcement(1_000_000, UpstreamState.SERVING))
                .length();

        assertThat(bytes).isLessThan(BYTES_PER_DAEMON_SECOND);
    }

    @Test
    void aChangeReachesAnEntryAsADifferenceWhoseSizeDoesNotGrowWithTheConfiguration() {
        ConfigurationPart configuration = ConfigurationPart.create();
        ConfigurationService configurations =
                ConfigurationService.of(new CountingLog(configuration), configuration, time);
        for (int team = 0; team < TEAMS; team++) {
            putTeam(configurations, team);
        }
        int full = fetch(configurations, 0).getSerializedSize();
        int difference = fetch(configurations, TEAMS - 1).getSerializedSize();

        assertThat(difference * (TEAMS / 2)).isLessThan(full);
    }

    @Test
    void aFetchWithoutNewsHasNoContent() {
        ConfigurationPart configuration = ConfigurationPart.create();
        ConfigurationService configurations =
                ConfigurationService.of(new CountingLog(configuration), configuration, time);
        putTeam(configurations, 0);

        ConfigurationUpdate update = fetch(configurations, 1);

        assertThat(update.getDifferencesList()).isEmpty();
        assertThat(update.hasFull()).isFalse();
    }

    private void runTasksOnAllWorkers() {
        reportFromAllWorkers();
        submitTasks();
        time.advance(Duration.ofSeconds(1));
        reportFromAllWorkers();
        reportFromAllWorkers();
        reportFromAllWorkers();
    }

    private void submitTasks() {
        for (int number = 0; number < WORKERS * TASKS_PER_WORKER; number++) {
            JobSpecification job = JobSpecification.newBuilder()
                    .setJobId("job-" + number)
                    .setProfile("batch")
                    .setWorkClass("letter")
                    .setPowerMilliwatts(1_000)
                    .setDeclaredRunTimeMillis(3_600_000)
                    .setDeclared(Resources.newBuilder().setMillicores(2_000).setMemoryMebibytes(1_000))
                    .build();
            call(TaskRequest.newBuilder()
                    .setSubmit(SubmitJob.newBuilder()
                            .setOperationId("submit-" + number)
                            .setJob(job)));
        }
    }

    private void reportFromAllWorkers() {
        for (int number = 0; number < WORKERS; number++) {
            WorkerTasks worker = workers.computeIfAbsent(number, this::newWorker);
            long sentNanos = time.nanoTime();
            WorkerReportResponse response = call(TaskRequest.newBuilder().setReport(worker.nextReport()))
                    .getTaskResponse()
                    .getReport();
            worker.accept(sentNanos, response);
        }
    }

    private WorkerTasks newWorker(int number) {
        Resources capacity = Resources.newBuilder()
                .setMillicores(2_000L * TASKS_PER_WORKER)
                .setMemoryMebibytes(125_000)
                .build();
        WorkerProfile profile = new WorkerProfile("worker-" + number, 1, capacity, "rack-1", "domain-1", 100_000);
        return WorkerTasks.create(time, profile, line -> {});
    }

    private Frame call(TaskRequest.Builder request) {
        return service.handle(Frame.newBuilder().setTaskRequest(request).build())
                .toCompletableFuture()
                .join();
    }

    private static void putTeam(ConfigurationService service, int team) {
        ConfigurationCommand command = ConfigurationCommand.newBuilder()
                .setOperationId("put-" + team)
                .setExpectedRevision(team)
                .addChanges(ConfigurationChange.newBuilder()
                        .setPutTeam(Team.newBuilder().setName("team-" + team).setMillicores(1_000)))
                .build();
        service.handle(Frame.newBuilder()
                        .setConfigurationRequest(
                                ConfigurationRequest.newBuilder().setChange(command))
                        .build())
                .toCompletableFuture()
                .join();
    }

    private static ConfigurationUpdate fetch(ConfigurationService service, long knownRevision) {
        return service.handle(Frame.newBuilder()
                        .setConfigurationRequest(ConfigurationRequest.newBuilder()
                                .setFetch(FetchConfiguration.newBuilder().setKnownRevision(knownRevision)))
                        .build())
                .toCompletableFuture()
                .join()
                .getConfigurationResponse()
                .getUpdate();
    }
}
