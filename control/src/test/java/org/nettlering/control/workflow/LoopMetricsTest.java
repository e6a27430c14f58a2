package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.runtime.metrics.Metrics;

class LoopMetricsTest {
    private static final HostIncarnation HOST = new HostIncarnation("h1", "10.0.0.1:80");

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final LoopMetrics metrics = LoopMetrics.unexported(time);

    @Test
    void theDelayOfALateTimerIsRecorded() {
        metrics.timerScheduled(Duration.ofMillis(100));
        advance(350);
        metrics.timerFired();
        assertThat(metrics.summariseAndReset().timerDelay())
                .isEqualTo(new LatencyRecorder.Summary(1, 250_000, 250_000));
    }

    @Test
    void aSummaryIsLoggedAsFieldsWithUnits() {
        metrics.recordLockWait(Duration.ofMillis(3).toNanos());
        metrics.commandSent(startCommand("a", 0));
        metrics.commandFinished(startCommand("a", 0), time.nanoTime(), new HostResponse.Accepted(0));
        try (EventRecorder events = EventRecorder.start()) {
            metrics.logSummary(true, 7);
            assertThat(events.messages(WorkflowEvent.LOOP_SUMMARY))
                    .containsExactly("workflow loop of the leader of term 7 in the last second");
            assertThat(events.fields(WorkflowEvent.LOOP_SUMMARY))
                    .containsEntry("lockWaitCount", 1L)
                    .containsEntry("lockWaitMeanMicros", 3_000L)
                    .containsEntry("lockWaitMaxMicros", 3_000L)
                    .containsEntry("timerDelayCount", 0L)
                    .containsEntry("inFlight.start", 0)
                    .containsEntry("outcomes.start.accepted", 1L);
        }
    }

    @Test
    void aSummaryIsLoggedAlsoRightAfterManyOthers() {
        for (int number = 0; number < 2 * WorkflowEvent.LOOP_SUMMARY.linesPerSecond(); number++) {
            metrics.logSummary(true, 7);
        }
        try (EventRecorder events = EventRecorder.start()) {
            metrics.logSummary(true, 7);
            assertThat(events.messages(WorkflowEvent.LOOP_SUMMARY)).hasSize(1);
        }
    }

    @Test
    void takingASummaryResetsIt() {
        metrics.recordLockWait(Duration.ofMillis(3).toNanos());
        metrics.recordLockWait(Duration.ofMillis(1).toNanos());
        assertThat(metrics.summariseAndReset().lockWait()).isEqualTo(new LatencyRecorder.Summary(2, 2_000, 3_000));
        assertThat(metrics.summariseAndReset().lockWait()).isEqualTo(new LatencyRecorder.Summary(0, 0, 0));
    }

    @Test
    void eachStageFromSubmissionToResponseIsRecordedSeparately() {
        List<WorkflowCommand> batch = List.of(new WorkflowCommand.StartRun(activeRun("a", 0)));
        metrics.batchProposed(batch);
        advance(20);
        metrics.batchCommitted(batch);
        advance(10);
        metrics.commandSent(startCommand("a", 0));
        long sentNanos = time.nanoTime();
        advance(700);
        LoopSummary summaryBeforeResponse = metrics.summariseAndReset();
        assertThat(summaryBeforeResponse.log()).isEqualTo(new LatencyRecorder.Summary(1, 20_000, 20_000));
        assertThat(summaryBeforeResponse.startToOrder()).isEqualTo(new LatencyRecorder.Summary(1, 10_000, 10_000));
        assertThat(summaryBeforeResponse.inFlight()).containsEntry("start", 1);
        metrics.commandFinished(startCommand("a", 0), sentNanos, new HostResponse.Accepted(0));
        LoopSummary summary = metrics.summariseAndReset();
        assertThat(summary.startAnswer().maxMicros()).isEqualTo(700_000);
        assertThat(summary.inFlight()).containsEntry("start", 0);
        assertThat(summary.outcomes()).containsExactly(Map.entry("start.accepted", 1L));
    }

    @Test
    void aLeadershipChangeDiscardsStartsThatWereNotSent() {
        List<WorkflowCommand> batch = List.of(new WorkflowCommand.StartRun(activeRun("a", 0)));
        metrics.batchProposed(batch);
        metrics.batchCommitted(batch);
        advance(5);
        metrics.resetForNewTerm();
        metrics.commandSent(startCommand("a", 0));
        assertThat(metrics.summariseAndReset().startToOrder().count()).isZero();
    }

    @Test
    void missingResponsesAreClassifiedByCause() {
        assertThat(CommandOutcome.of(new HostResponse.NoResponse(
                        "The timeout of 500 ms has been exceeded when getting a connection to 10.0.0.1:80")))
                .isEqualTo("unanswered_no_connection_in_time");
        assertThat(CommandOutcome.of(new HostResponse.NoResponse("connection timed out after 500 ms: /10.0.0.1:80")))
                .isEqualTo("unanswered_connect_timeout");
        assertThat(CommandOutcome.of(new HostResponse.NoResponse("Connection refused: /10.0.0.1:80")))
                .isEqualTo("unanswered_connect_refused");
        assertThat(CommandOutcome.of(new HostResponse.NoResponse("The timeout period of 800ms has been exceeded")))
                .isEqualTo("unanswered_no_answer_in_time");
        assertThat(CommandOutcome.of(new HostResponse.NoResponse("Connection was closed")))
                .isEqualTo("unanswered_closed");
        assertThat(CommandOutcome.of(new HostResponse.NoResponse("null"))).isEqualTo("unanswered_other");
        assertThat(CommandOutcome.of(new HostResponse.Rejected(HostResponse.RejectionReason.NO_ROOM)))
                .isEqualTo("refused_no_room");
    }

    @Test
    void commandMetricsAreRegistered() {
        PrometheusRegistry registry = Metrics.create().registry();
        LoopMetrics registered = LoopMetrics.registerIn(registry, time);
        registered.commandSent(startCommand("a", 0));
        registered.commandFinished(startCommand("a", 0), time.nanoTime(), new HostResponse.Unhealthy());
        assertThat(registry.scrape().stream()
                        .map(snapshot -> snapshot.getMetadata().getPrometheusName()))
                .contains(
                        "nettlering_leader_orders", "nettlering_leader_order_seconds", "nettlering_leader_run_seconds");
    }

    private static ActiveRun activeRun(String jobId, int index) {
        return new ActiveRun(new RunId(new TaskId(new StepId(jobId, 0, 0), index), 1), HOST, "");
    }

    private static HostCommand.Start startCommand(String jobId, int index) {
        return new HostCommand.Start(1, activeRun(jobId, index), "work", 0, "");
    }

    private void advance(long millis) {
        time.advance(Duration.ofMillis(millis));
    }
}
