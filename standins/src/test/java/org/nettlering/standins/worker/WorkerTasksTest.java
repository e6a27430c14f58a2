package org.nettlering.standins.worker;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.standins.journal.JournalLine;
import org.nettlering.standins.journal.JournalLine.PowerDrawn;
import org.nettlering.standins.journal.JournalLine.TaskEnded;
import org.nettlering.standins.journal.JournalLine.TaskStarted;
import org.nettlering.wire.proto.TaskProto.AcknowledgeEnd;
import org.nettlering.wire.proto.TaskProto.CheckpointTask;
import org.nettlering.wire.proto.TaskProto.EndReason;
import org.nettlering.wire.proto.TaskProto.JobSpecification;
import org.nettlering.wire.proto.TaskProto.Resources;
import org.nettlering.wire.proto.TaskProto.StartTask;
import org.nettlering.wire.proto.TaskProto.StopTask;
import org.nettlering.wire.proto.TaskProto.ThrottleTask;
import org.nettlering.wire.proto.TaskProto.WorkerCommand;
import org.nettlering.wire.proto.TaskProto.WorkerReportResponse;

class WorkerTasksTest {
    private static final int LEASE_MILLIS = 3_000;

    private final ManualTime time = ManualTime.startingAt(Instant.EPOCH);
    private final List<JournalLine> lines = new ArrayList<>();
    private final WorkerProfile profile =
            new WorkerProfile("worker-1", 1, Resources.getDefaultInstance(), "rack-1", "domain-1", 100);
    private final WorkerTasks tasks = WorkerTasks.create(time, profile, lines::add);

    @Test
    void aStartedTaskIsReportedAsRunning() {
        accept(start(1, 0));

        assertThat(tasks.nextReport().getRunningList())
                .singleElement()
                .satisfies(running -> assertThat(running.getEpoch()).isEqualTo(1));
    }

    @Test
    void aStartThatArrivesTwiceStartsTheTaskOnce() {
        accept(start(1, 0));
        accept(start(1, 0));

        assertThat(lines).filteredOn(TaskStarted.class::isInstance).hasSize(1);
    }

    @Test
    void aStartThatArrivesAfterItsStopIsIgnored() {
        accept(stop(1));
        accept(start(1, 0));

        assertThat(tasks.nextReport().getRunningList()).isEmpty();
        assertThat(tasks.nextReport().getEnded(0).getReason()).isEqualTo(EndReason.STOPPED);
    }

    @Test
    void aTaskCompletesAfterItsDeclaredRunTime() {
        accept(start(1, 0));
        time.advance(Duration.ofSeconds(1));
        tasks.advance();

        assertThat(tasks.nextReport().getEnded(0).getReason()).isEqualTo(EndReason.COMPLETED);
    }

    @Test
    void anEndIsReportedUntilItIsAcknowledged() {
        accept(start(1, 0));
        accept(stop(1));
        assertThat(tasks.nextReport().getEndedCount()).isEqualTo(1);
        assertThat(tasks.nextReport().getEndedCount()).isEqualTo(1);

        accept(WorkerCommand.newBuilder()
                .setAcknowledge(AcknowledgeEnd.newBuilder().setJobId("job").setEpoch(1))
                .build());

        assertThat(tasks.nextReport().getEndedCount()).isZero();
    }

    @Test
    void theLeaseCountsFromWhenTheReportWasSent() {
        long sentNanos = time.nanoTime();
        time.advance(Duration.ofMillis(LEASE_MILLIS - 100));
        tasks.accept(sentNanos, response(start(1, 0)));
        time.advance(Duration.ofMillis(100));

        assertThat(tasks.advance()).isEqualTo(1);
        assertThat(tasks.nextReport().getEnded(0).getReason()).isEqualTo(EndReason.LEASE_EXPIRED);
    }

    @Test
    void aResponseWhoseLeaseIsOverStartsNothing() {
        long sentNanos = time.nanoTime();
        time.advance(Duration.ofMillis(LEASE_MILLIS));
        tasks.accept(sentNanos, response(start(1, 0)));

        assertThat(tasks.nextReport().getRunningList()).isEmpty();
    }

    @Test
    void aThrottledTaskDrawsLessAndTakesLonger() {
        accept(start(1, 0));
        accept(WorkerCommand.newBuilder()
                .setThrottle(
                        ThrottleTask.newBuilder().setJobId("job").setEpoch(1).setThrottlePercent(50))
                .build());
        assertThat(lines.getLast())
                .isInstanceOfSatisfying(
                        PowerDrawn.class,
                        drawn -> assertThat(drawn.milliwatts()).isEqualTo(125));

        time.advance(Duration.ofMillis(1_999));
        tasks.advance();
        assertThat(tasks.nextReport().getRunningCount()).isEqualTo(1);
        time.advance(Duration.ofMillis(1));
        tasks.advance();
        assertThat(tasks.nextReport().getRunningCount()).isZero();
    }

    @Test
    void anIdleWorkerRecordsWhatItDraws() {
        tasks.advance();
        tasks.advance();

        assertThat(lines).containsExactly(new PowerDrawn(time.nanoTime(), 100));
    }

    @Test
    void aThrottleThatArrivesAfterALaterOneIsIgnored() {
        accept(start(1, 0));
        accept(throttle(50, 2));
        accept(throttle(80, 1));

        assertThat(tasks.nextReport().getRunning(0).getThrottlePercent()).isEqualTo(50);
        assertThat(tasks.nextReport().getRunning(0).getThrottleVersion()).isEqualTo(2);
    }

    @Test
    void aResumedTaskRunsOnlyWhatIsLeftSinceItsCheckpoint() {
        accept(start(1, 0));
        time.advance(Duration.ofMillis(400));
        accept(WorkerCommand.newBuilder()
                .setCheckpoint(CheckpointTask.newBuilder().setJobId("job").setEpoch(1))
                .build());
        long sequence = tasks.nextReport().getRunning(0).getCheckpointSequence();
        accept(start(2, sequence));
        time.advance(Duration.ofMillis(600));
        tasks.advance();

        assertThat(lines)
                .filteredOn(TaskEnded.class::isInstance)
                .extracting(line -> ((TaskEnded) line).reason())
                .containsExactly("STOPPED", "COMPLETED");
    }

    private void accept(WorkerCommand command) {
        tasks.accept(time.nanoTime(), response(command));
    }

    private static WorkerReportResponse response(WorkerCommand command) {
        return WorkerReportResponse.newBuilder()
                .setLeaseMillis(LEASE_MILLIS)
                .addCommands(command)
                .build();
    }

    private static WorkerCommand start(long epoch, long resumeSequence) {
        JobSpecification job = JobSpecification.newBuilder()
                .setJobId("job")
                .setPowerMilliwatts(50)
                .setDeclaredRunTimeMillis(1_000)
                .build();
        return WorkerCommand.newBuilder()
                .setStart(
                        StartTask.newBuilder().setJob(job).setEpoch(epoch).setResumeCheckpointSequence(resumeSequence))
                .build();
    }

    private static WorkerCommand throttle(int percent, long version) {
        return WorkerCommand.newBuilder()
                .setThrottle(ThrottleTask.newBuilder()
                        .setJobId("job")
                        .setEpoch(1)
                        .setThrottlePercent(percent)
                        .setThrottleVersion(version))
                .build();
    }

    private static WorkerCommand stop(long epoch) {
        return WorkerCommand.newBuilder()
                .setStop(StopTask.newBuilder().setJobId("job").setEpoch(epoch))
                .build();
    }
}
