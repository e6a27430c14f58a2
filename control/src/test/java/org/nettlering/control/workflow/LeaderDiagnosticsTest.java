package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import io.prometheus.metrics.model.snapshots.MetricSnapshot;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostSessionStatus;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/** What the log and the metrics tell of a leader that waits for something, and that a healthy one writes none of it. */
class LeaderDiagnosticsTest {
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private static final HostIncarnation HOST = new HostIncarnation("h1", "10.0.0.1:80");

    private static final RunId RUN = new RunId(new TaskId(new StepId("a", 0, 0), 0), 1);

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));

    private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();

    private final HoldingLog log = new HoldingLog(new SharedLog().join(stateMachine));

    private final PrometheusRegistry registry = new PrometheusRegistry();

    private final FakeHost fakeHost = new FakeHost(HOST.id(), HOST.address(), time, new SilentListener());

    private final EventRecorder events = EventRecorder.start();

    private Function<HostCommand, CompletionStage<HostResponse>> host =
            command -> CompletableFuture.completedStage(fakeHost.handle(command));

    private boolean draining;

    private final WorkflowLoop loop = WorkflowLoop.startOn(
            Runnable::run,
            log,
            stateMachine,
            time,
            command -> host.apply(command),
            TIMINGS,
            WorkflowOptions.NONE,
            LoopMetrics.registerIn(registry, time));

    @AfterEach
    void stop() {
        loop.close();
        events.close();
    }

    @Test
    void aHealthyHostIsNotReported() {
        startRun();
        advance(10_000);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE)).isEmpty();
        assertThat(events.messages(WorkflowEvent.START_NOT_CONFIRMED)).isEmpty();
        assertThat(events.messages(WorkflowEvent.STOP_REQUESTED)).isEmpty();
        assertThat(gauge("nettlering_leader_oldest_unrenewed_lease_seconds")).isLessThan(2);
    }

    @Test
    void aHostWhosePollIsNotAnsweredIsReportedUntilItsLeaseIsRenewed() {
        startRun();
        List<CompletableFuture<HostResponse>> polls = holdPolls();
        advance(3_500);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE).getFirst())
                .startsWith("lease of host h1 with 1 active runs not renewed for ")
                .contains("waitsFor=POLL_IN_FLIGHT")
                .containsPattern("latestExpiryInMillis=[1-9][0-9]*,");
        assertThat(gauge("nettlering_leader_oldest_poll_seconds")).isGreaterThan(2);
        assertThat(gauge("nettlering_leader_oldest_unrenewed_lease_seconds")).isGreaterThan(2);
        answerPolls(polls);
        advance(2_000);
        assertThat(events.messages(WorkflowEvent.LEASE_RENEWED_AGAIN)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE_EXPIRED)).isEmpty();
        assertThat(gauge("nettlering_leader_oldest_unrenewed_lease_seconds")).isLessThan(2);
    }

    @Test
    void aLeaseThatIsNotRenewedForLongerThanItLastsIsReportedAsExpired() {
        startRun();
        holdPolls();
        advance(6_500);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE_EXPIRED)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.LEASE_RENEWED_AGAIN)).isEmpty();
    }

    @Test
    void aTerminationThatIsNotCommittedIsReportedWhileTheLeaseOfItsHostIsRenewed() {
        startRun();
        log.hold = true;
        fakeHost.terminateRuns(TerminalStatus.DONE, 0);
        advance(4_000);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE)).isEmpty();
        assertThat(events.messages(WorkflowEvent.TERMINATION_NOT_COMMITTED)).isNotEmpty();
        assertThat(gauge("nettlering_leader_oldest_batch_seconds")).isGreaterThan(3);
    }

    @Test
    void aHostThatDoesNotRespondIsReportedWithThatWait() {
        startRun();
        host = command -> CompletableFuture.completedStage(new HostResponse.NoResponse("timeout"));
        advance(3_500);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE).getFirst()).contains("waitsFor=HOST_UNRESPONSIVE");
    }

    @Test
    void aHostTakenForTerminatedIsReportedWithTheEvidence() {
        startRun();
        log.hold = true;
        host = command -> CompletableFuture.completedStage(new HostResponse.OtherIncarnation());
        advance(4_000);
        assertThat(events.messages(WorkflowEvent.LEASE_OVERDUE).getFirst())
                .contains("waitsFor=INCARNATION_TERMINATED")
                .contains("terminatedBy=OtherLife");
    }

    @Test
    void aSessionThatAwaitsAPollWhichIsNotInFlightIsToldApart() {
        HostSessionStatus status = new HostSessionStatus(HOST, 1, true, true, false, 0, 0, 0, 10, 10, Optional.empty());
        LeaseTraces leases = LeaseTraces.create(time);
        assertThat(LeaseDetails.of(status, leases, 0).waitsFor()).isEqualTo(LeaseWait.POLL_OUTCOME_MISSING);
        HostCommand.Poll poll = new HostCommand.Poll(HOST, 1, 1, 0, 0);
        leases.commandSent(poll);
        assertThat(LeaseDetails.of(status, leases, 0).waitsFor()).isEqualTo(LeaseWait.POLL_IN_FLIGHT);
        leases.commandFinished(poll, time.nanoTime(), new HostResponse.NoResponse("timeout"));
        assertThat(LeaseDetails.of(status, leases, 0).waitsFor())
                .as("the outcome may be on its way to the session")
                .isEqualTo(LeaseWait.POLL_IN_FLIGHT);
        time.advance(Duration.ofSeconds(1));
        assertThat(LeaseDetails.of(status, leases, 0).waitsFor()).isEqualTo(LeaseWait.POLL_OUTCOME_MISSING);
    }

    @Test
    void aRunOfACancelledJobThatGoesOnIsReportedWithItsStop() {
        startRun();
        host = command -> command instanceof HostCommand.Stop
                ? new CompletableFuture<>()
                : CompletableFuture.completedStage(fakeHost.handle(command));
        cancel();
        advance(3_000);
        assertThat(events.messages(WorkflowEvent.STOP_REQUESTED))
                .containsExactly("stop of run " + RUN + " on host h1 requested: JOB_CANCELLED");
        assertThat(events.messages(WorkflowEvent.FINISHED_JOB_RUN_TRACKED)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.FINISHED_JOB_RUN_TRACKED).getFirst())
                .startsWith("run " + RUN + " on host h1 still tracked ")
                .contains("(CANCELLED): stage CONFIRMED")
                .contains("stop requested as JOB_CANCELLED, sent ")
                .contains("without an outcome yet");
        assertThat(gauge("nettlering_leader_finished_job_runs")).isEqualTo(1);
    }

    @Test
    void theTimeFromTheCancellationToTheLastEndIsMeasured() {
        startRun();
        cancel();
        advance(1_000);
        HistogramSnapshot snapshot = (HistogramSnapshot) metric("nettlering_leader_cancel_to_last_end_seconds");
        assertThat(snapshot.getDataPoints().getFirst().getCount()).isEqualTo(1);
        assertThat(events.messages(WorkflowEvent.FINISHED_JOB_RUN_TRACKED)).isEmpty();
        assertThat(gauge("nettlering_leader_finished_job_runs")).isZero();
    }

    @Test
    void aStartWithoutAResponseIsReported() {
        host = command -> command instanceof HostCommand.Start
                ? new CompletableFuture<>()
                : CompletableFuture.completedStage(fakeHost.handle(command));
        startRun();
        advance(3_500);
        assertThat(events.messages(WorkflowEvent.START_NOT_CONFIRMED)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.START_NOT_CONFIRMED).getFirst())
                .startsWith("start of run " + RUN + " on host h1 not confirmed for ")
                .contains("stage START_SENT; start sent ");
    }

    @Test
    void anUnansweredStartIsStoppedForThatReason() {
        host = command -> CompletableFuture.completedStage(
                command instanceof HostCommand.Start
                        ? new HostResponse.NoResponse("timeout")
                        : fakeHost.handle(command));
        submit();
        assertThat(events.messages(WorkflowEvent.STOP_REQUESTED).getFirst())
                .isEqualTo("stop of run " + RUN + " on host h1 requested: UNANSWERED_START");
    }

    @Test
    void anActiveRunThatTheLeaderDoesNotTrackIsReportedWhileABatchKeepsItFromBeingTracked() {
        startRun();
        log.hold = true;
        stateMachine.read((state, queues) -> state.apply(submitCommand("b", Resources.of(1_000, 100, 0))));
        advance(500);
        RunId second = new RunId(RUN.task(), 2);
        stateMachine.read((state, queues) -> {
            state.apply(new WorkflowCommand.RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
            return state.apply(new StartRun(new ActiveRun(second, HOST, "")));
        });
        advance(3_500);
        assertThat(events.messages(WorkflowEvent.ACTIVE_RUN_NOT_TRACKED)).hasSize(1);
        assertThat(events.messages(WorkflowEvent.ACTIVE_RUN_NOT_TRACKED).getFirst())
                .startsWith("active run " + second + " on host h1 not tracked by the leader of term 1 for ");
    }

    @Test
    void aPendingTaskThatNoHostWithRoomTakesIsReportedWithTheReason() {
        draining = true;
        advance(500);
        submit();
        advance(2_500);
        assertThat(events.messages(WorkflowEvent.TASKS_NOT_PLACED)).isNotEmpty();
        assertThat(events.messages(WorkflowEvent.TASKS_NOT_PLACED).getFirst())
                .startsWith("no task of step a.0.0 started for ")
                .contains("although hosts of pool pool have room: ")
                .contains("pendingTasks=1, activeRuns=0")
                .contains("hostsWithRoom={DRAINING=1}");
    }

    @Test
    void aPendingTaskThatFindsRoomOnlyOnceIsNotReported() {
        draining = true;
        advance(500);
        stateMachine.read((state, queues) -> state.apply(submitCommand("a", Resources.of(3_000, 100, 0))));
        advance(3_000);
        assertThat(events.messages(WorkflowEvent.TASKS_NOT_PLACED)).isEmpty();
    }

    @Test
    void tasksOfWhichOthersStartAreNotReported() {
        for (int number = 0; number < 30; number++) {
            String id = "job-" + number;
            stateMachine.read((state, queues) -> state.apply(submitCommand(id, Resources.of(1_000, 100, 0))));
            advance(100);
            fakeHost.terminateRuns(TerminalStatus.DONE, 0);
        }
        assertThat(events.messages(WorkflowEvent.TASKS_NOT_PLACED)).isEmpty();
    }

    @Test
    void theTerminationOfARunWhoseJobIsNotStoredDoesNotSayThatTheJobWasCancelled() {
        startRun();
        fakeHost.terminateRuns(TerminalStatus.DONE, 0);
        stateMachine.read((state, queues) -> {
            state.apply(new WorkflowCommand.RecordTermination(RUN, TerminalStatus.HOST_LOST, ""));
            state.apply(new WorkflowCommand.CancelJob("a"));
            return state.apply(new WorkflowCommand.RemoveJob("a"));
        });
        advance(500);
        assertThat(events.messages(WorkflowEvent.RUN_ENDED))
                .containsExactly("run " + RUN + " terminated: DONE; job phase is NOT_STORED");
    }

    private void submit() {
        stateMachine.read((state, queues) -> state.apply(submitCommand("a", Resources.of(1_000, 100, 0))));
        advance(500);
    }

    private void startRun() {
        submit();
        assertThat(stateMachine.<Boolean>read((state, queues) -> state.isActive(RUN)))
                .isTrue();
    }

    private void cancel() {
        stateMachine.read((state, queues) -> state.apply(new WorkflowCommand.CancelJob("a")));
        loop.updateWithState((state, leadership) -> state.job("a").ifPresent(leadership::stopRuns));
    }

    private List<CompletableFuture<HostResponse>> holdPolls() {
        List<CompletableFuture<HostResponse>> polls = new ArrayList<>();
        host = command -> {
            if (!(command instanceof HostCommand.Poll)) {
                return CompletableFuture.completedStage(fakeHost.handle(command));
            }
            CompletableFuture<HostResponse> poll = new CompletableFuture<>();
            polls.add(poll);
            return poll;
        };
        return polls;
    }

    private void answerPolls(List<CompletableFuture<HostResponse>> polls) {
        HostCommand.Poll poll = new HostCommand.Poll(HOST, 1, Long.MAX_VALUE / 2, 0, 0);
        host = command -> CompletableFuture.completedStage(fakeHost.handle(command));
        List.copyOf(polls).forEach(held -> held.complete(fakeHost.handle(poll)));
    }

    /** Lets time pass in steps of a tick, with a heartbeat in each. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 100) {
            HostHeartbeat heartbeat = fakeHost.heartbeat(draining);
            loop.update(leadership -> leadership.receiveHeartbeat(heartbeat, time.nanoTime()));
            time.advance(Duration.ofMillis(100));
        }
    }

    private double gauge(String name) {
        return ((GaugeSnapshot) metric(name)).getDataPoints().getFirst().getValue();
    }

    private MetricSnapshot metric(String name) {
        return registry.scrape().stream()
                .filter(snapshot -> snapshot.getMetadata().getPrometheusName().equals(name))
                .findFirst()
                .orElseThrow();
    }

    private static WorkflowCommand submitCommand(String jobId, Resources demand) {
        StepSpecification step = new StepSpecification(
                1, demand, 1_000, List.of(), Set.of(), PlacementConstraints.NONE, StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        return new WorkflowCommand.SubmitJob(
                jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0);
    }

    /** A log that keeps what is proposed while it is told to hold it. */
    private static final class HoldingLog implements CommandLog {
        private final CommandLog log;

        private boolean hold;

        private HoldingLog(CommandLog log) {
            this.log = log;
        }

        @Override
        public CompletionStage<SiteResult> propose(SiteCommand command) {
            return hold ? new CompletableFuture<>() : log.propose(command);
        }

        @Override
        public CompletionStage<Void> confirmLeadership() {
            return log.confirmLeadership();
        }

        @Override
        public boolean isReadyLeader() {
            return log.isReadyLeader();
        }

        @Override
        public boolean hasAppliedWholeLog() {
            return log.hasAppliedWholeLog();
        }

        @Override
        public long term() {
            return log.term();
        }

        @Override
        public Optional<String> leaderId() {
            return log.leaderId();
        }
    }

    private static final class SilentListener implements FakeHost.Listener {
        @Override
        public void runStarted(FakeHost host, RunId run) {}

        @Override
        public void runTerminated(FakeHost host, RunId run, TerminalStatus status) {}

        @Override
        public void terminationAcknowledged(FakeHost host, RunId run, TerminalStatus status, boolean leaseHeld) {}
    }
}
