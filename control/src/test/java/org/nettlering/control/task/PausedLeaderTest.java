package org.nettlering.control.task;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.placement.FirstFitPlanner;
import org.nettlering.domain.task.Worker;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.worker.SessionLeases;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.TaskProto.Resources;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.WorkerReport;

class PausedLeaderTest {
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    private final PausableTime time = new PausableTime();
    private final TaskPart part = TaskPart.create(() -> 1_000_000);
    private final SiteConfiguration configuration = SiteConfiguration.of(1, List.of(), List.of(), List.of(), 1_000_000);
    private final TaskService service = TaskService.start(
            new DirectLog(part), part, time, () -> configuration, FirstFitPlanner::create, TaskListener.NONE);
    private long sequence;

    @AfterEach
    void stopTheLoop() {
        service.close();
    }

    @Test
    void aWorkerWhoseReportsWaitAtAPausedLeaderIsNotLost() {
        report();
        report();

        time.pause(SessionLeases.LEASE_DURATION.multipliedBy(2));
        time.advance(REPORT_INTERVAL);
        assertThat(isLive()).isTrue();

        report();
        time.advance(REPORT_INTERVAL);
        assertThat(isLive()).isTrue();
    }

    @Test
    void aWorkerThatStaysSilentAfterThePauseIsLost() {
        report();
        report();
        time.pause(SessionLeases.LEASE_DURATION.multipliedBy(2));

        time.advance(SessionLeases.LEASE_DURATION);
        assertThat(isLive()).isTrue();
        time.advance(SessionLeases.MAX_CLOCK_DRIFT.plusSeconds(1));
        assertThat(isLive()).isFalse();
    }

    private boolean isLive() {
        return part.read(state -> state.worker("worker-1").map(Worker::isLive).orElseThrow());
    }

    private void report() {
        sequence++;
        WorkerReport report = WorkerReport.newBuilder()
                .setWorkerId("worker-1")
                .setIncarnation(1)
                .setSequence(sequence)
                .setCapacity(Resources.newBuilder().setMillicores(4_000).setMemoryMebibytes(1_000))
                .build();
        Frame request = Frame.newBuilder()
                .setTaskRequest(TaskRequest.newBuilder().setReport(report))
                .build();
        service.handle(request).toCompletableFuture().join();
    }

    /** Manual time whose clocks also go on while no timer runs, as for a process that is stopped. */
    private static final class PausableTime implements TimeSource {
        private final ManualTime inner = ManualTime.startingAt(Instant.EPOCH);
        private Duration paused = Duration.ZERO;

        void pause(Duration duration) {
            paused = paused.plus(duration);
        }

        void advance(Duration duration) {
            inner.advance(duration);
        }

        @Override
        public Instant instant() {
            return inner.instant().plus(paused);
        }

        @Override
        public long nanoTime() {
            return inner.nanoTime() + paused.toNanos();
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return inner.schedule(delay, task);
        }
    }
}
