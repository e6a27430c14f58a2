package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.PoolSettings;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.queue.QueueSettings;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.transport.ControlGateway;
import org.nettlering.wire.workflow.JobResponse;
import org.nettlering.wire.workflow.WorkflowClient;

/**
 * Tests the control processes with in-memory hosts from the client's request to the host's response: the path of a job from
 * submission to completion, cancellation, a change of leader, host failures and queue configurations.
 */
class WorkflowEndToEndTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);

    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final SharedLog log = new SharedLog();
    private final List<RunId> startedRuns = new ArrayList<>();
    private final FakeHost host = new FakeHost("h1", "10.0.0.1:80", time, new StartRecorder());
    private final ControlNode firstNode = new ControlNode();
    private final ControlNode secondNode = new ControlNode();

    private ControlNode leader = firstNode;

    @BeforeEach
    void configureQueues() {
        leader.client
                .replaceQueues(configuration(7), TIMEOUT)
                .toCompletableFuture()
                .join();
    }

    @Test
    void aJobRunsStepByStepUntilItCompletes() {
        sendHeartbeat();
        assertThat(submit("/q/1", step(2, List.of()), step(1, List.of(0)))).isEqualTo(new JobResponse.Done());
        advance(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.RUNNING);
        assertThat(host.runningCount()).isEqualTo(2);
        terminateAllRuns(TerminalStatus.DONE);
        advance(300);
        assertThat(host.runningCount()).isEqualTo(1);
        terminateAllRuns(TerminalStatus.DONE);
        advance(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.COMPLETED);
    }

    @Test
    void aJobFailsWhenATaskExhaustsItsAttempts() {
        sendHeartbeat();
        submit("/q/1", step(1, List.of()));
        advance(300);
        terminateAllRuns(TerminalStatus.FAILED);
        advance(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.RUNNING);
        terminateAllRuns(TerminalStatus.FAILED);
        advance(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.FAILED);
        assertThat(host.runningCount()).isZero();
    }

    @Test
    void aJobWhoseAcceptanceIsUndecidedIsNotRejectedWhenItIsSubmittedAgain() {
        sendHeartbeat();
        JobDefinition definition =
                new JobDefinition("work", List.of(step(3, List.of(), StepTrait.LONG_RUNNING)), Recurrence.ONCE);
        log.injectProposalFaults(() -> SharedLog.ProposalFault.LOST);
        CompletionStage<JobResponse> undecided = leader.client.submit("site.example", "/q/1", definition, TIMEOUT);
        log.injectProposalFaults(() -> SharedLog.ProposalFault.NONE);
        assertThat(submit("/q/2", step(3, List.of(), StepTrait.LONG_RUNNING))).isInstanceOf(JobResponse.Rejected.class);
        assertThat(submit("/q/1", step(3, List.of(), StepTrait.LONG_RUNNING))).isEqualTo(new JobResponse.Done());
        assertThat(undecided.toCompletableFuture()).isNotDone();
    }

    @Test
    void longRunningJobsThatAreSubmittedAtOnceDoNotExceedTheirShareTogether() {
        sendHeartbeat();
        JobDefinition definition =
                new JobDefinition("work", List.of(step(2, List.of(), StepTrait.LONG_RUNNING)), Recurrence.ONCE);
        log.injectProposalFaults(() -> SharedLog.ProposalFault.LOST);
        CompletionStage<JobResponse> undecided = leader.client.submit("site.example", "/q/1", definition, TIMEOUT);
        CompletionStage<JobResponse> second = leader.client.submit("site.example", "/q/2", definition, TIMEOUT);
        assertThat(undecided.toCompletableFuture()).isNotDone();
        assertThat(second.toCompletableFuture()).isDone();
        assertThat(join(second)).isInstanceOf(JobResponse.Rejected.class);
    }

    @Test
    void cancellingAJobStopsItsRuns() {
        sendHeartbeat();
        submit("/q/1", step(2, List.of(), StepTrait.LONG_RUNNING));
        advance(300);
        assertThat(host.runningCount()).isEqualTo(2);
        assertThat(join(leader.client.cancel("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.Done());
        advance(300);
        assertThat(host.runningCount()).isZero();
        assertThat(phase("/q/1")).isEqualTo(JobPhase.CANCELLED);
    }

    /** Guards against a job that starts after its cancelling was acknowledged, as its submission was held up on its way. */
    @Test
    void aJobNeverStartsThatWasCancelledBeforeItsSubmissionArrived() {
        sendHeartbeat();
        assertThat(join(leader.client.cancel("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
        assertThat(submit("/q/1", step(2, List.of()))).isInstanceOf(JobResponse.Rejected.class);
        advance(1_000);
        assertThat(startedRuns).isEmpty();
        assertThat(join(leader.client.show("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
        assertThat(pending()).isEqualTo(new JobResponse.Pending(0));
        assertThat(join(leader.client.cancel("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
    }

    @Test
    void aNewLeaderKnowsWhichJobsWereCancelledBeforeTheirSubmissions() {
        sendHeartbeat();
        assertThat(join(leader.client.cancel("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
        secondNode.becomeLeader();
        sendHeartbeat();
        assertThat(submit("/q/1", step(2, List.of()))).isInstanceOf(JobResponse.Rejected.class);
        advance(1_000);
        assertThat(startedRuns).isEmpty();
    }

    @Test
    void aNewLeaderAdoptsActiveRunsWithoutStartingThemAgain() {
        sendHeartbeat();
        submit("/q/1", step(3, List.of()));
        advance(300);
        secondNode.becomeLeader();
        sendHeartbeat();
        advance(500);
        assertThat(host.runningCount()).isEqualTo(3);
        assertThat(startedRuns).hasSize(3);
        terminateAllRuns(TerminalStatus.DONE);
        advance(300);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.COMPLETED);
        assertThat(startedRuns).hasSize(3);
    }

    @Test
    void aNewLeaderCommitsATerminationThatTheOldLeaderDidNot() {
        sendHeartbeat();
        submit("/q/1", step(1, List.of()));
        advance(300);
        secondNode.becomeLeader();
        terminateAllRuns(TerminalStatus.DONE);
        advance(500);
        assertThat(phase("/q/1")).isEqualTo(JobPhase.COMPLETED);
        assertThat(startedRuns).hasSize(1);
    }

    @Test
    void runsOfACrashedHostAreRestartedOnAnotherHost() {
        sendHeartbeat();
        submit("/q/1", step(1, List.of()));
        advance(300);
        host.crash();
        FakeHost otherHost = new FakeHost("h2", "10.0.0.2:80", time, new StartRecorder());
        hosts.add(otherHost);
        advanceWithHeartbeats(12_000, otherHost);
        assertThat(otherHost.runningCount()).isEqualTo(1);
        assertThat(startedRuns.getLast().number()).isEqualTo(2);
    }

    /** Guards against MIXED: a job counted as begun once its start was committed, also if its host had been lost before. */
    @Test
    void jobsThatArePlannedForALostHostArePendingUntilAnotherHostStartsThem() {
        sendHeartbeat();
        advance(300);
        host.crash();
        submit("/q/1", step(1, List.of()));
        submit("/q/2", step(1, List.of()));
        advance(500);
        assertThat(pending()).isEqualTo(new JobResponse.Pending(2));
        assertThat(phase("/q/1")).isEqualTo(JobPhase.QUEUED);
        advance(5_000);
        assertThat(pending()).isEqualTo(new JobResponse.Pending(2));
        secondNode.becomeLeader();
        assertThat(pending()).isEqualTo(new JobResponse.Pending(2));
        FakeHost otherHost = new FakeHost("h2", "10.0.0.2:80", time, new StartRecorder());
        hosts.add(otherHost);
        advanceWithHeartbeats(15_000, otherHost);
        assertThat(otherHost.runningCount()).isEqualTo(2);
        assertThat(pending()).isEqualTo(new JobResponse.Pending(0));
        assertThat(phase("/q/1")).isEqualTo(JobPhase.RUNNING);
    }

    @Test
    void aJobThatRunsIsNotPendingAndStaysSoUnderANewLeaderThatHasPolledItsHost() {
        sendHeartbeat();
        submit("/q/1", step(1, List.of()));
        advance(300);
        assertThat(pending()).isEqualTo(new JobResponse.Pending(0));
        secondNode.becomeLeader();
        assertThat(phase("/q/1")).isEqualTo(JobPhase.RUNNING);
        advance(300);
        assertThat(pending()).isEqualTo(new JobResponse.Pending(0));
    }

    @Test
    void aDrainingHostReceivesNoNewRuns() {
        sendHeartbeat();
        leader.client
                .sendHeartbeat(host.heartbeat(true), TIMEOUT)
                .toCompletableFuture()
                .join();
        submit("/q/1", step(1, List.of()));
        advance(1_000);
        assertThat(startedRuns).isEmpty();
        assertThat(pending()).isEqualTo(new JobResponse.Pending(1));
    }

    @Test
    void unknownQueueAndUnknownJobGetDistinctResults() {
        assertThat(join(leader.client.show("site.example", "/none/1", TIMEOUT))).isEqualTo(new JobResponse.NoQueue());
        assertThat(join(leader.client.show("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
        assertThat(join(leader.client.cancel("site.example", "/q/1", TIMEOUT))).isEqualTo(new JobResponse.NoJob());
    }

    @Test
    void theHighestConfigurationVersionStaysInEffect() {
        leader.client
                .replaceQueues(configuration(5), TIMEOUT)
                .toCompletableFuture()
                .join();
        assertThat(version()).isEqualTo(7);
        leader.client
                .replaceQueues(configuration(9), TIMEOUT)
                .toCompletableFuture()
                .join();
        assertThat(version()).isEqualTo(9);
        secondNode.becomeLeader();
        assertThat(version()).isEqualTo(9);
    }

    @Test
    void anOccurrenceStartsWhenDue() {
        sendHeartbeat();
        long dueMillis = time.millis() + 2_000;
        JobDefinition scheduled =
                new JobDefinition("work", List.of(step(1, List.of())), new Recurrence(1, dueMillis, 1_000));
        join(leader.client.submit("site.example", "/q/1", scheduled, TIMEOUT));
        advance(1_900);
        assertThat(startedRuns).isEmpty();
        advance(400);
        assertThat(startedRuns).hasSize(1);
    }

    private JobResponse pending() {
        return join(leader.client.show("site.example", "/q/", TIMEOUT));
    }

    private long version() {
        return leader.client
                .readQueues(TIMEOUT)
                .toCompletableFuture()
                .join()
                .orElseThrow()
                .version();
    }

    private static QueueConfiguration configuration(long version) {
        QueueTerms terms = new QueueTerms(0, 2, 1.5, 250, false);
        return QueueConfiguration.of(
                version,
                List.of(new QueueSettings("q", "site.example", "/q/", "pool", 3_000, terms)),
                List.of(new PoolSettings("pool", false, false)),
                RequestLimits.DEFAULT,
                "{\"version\":" + version + "}");
    }

    private static StepSpecification step(int count, List<Integer> dependsOn, StepTrait... traits) {
        return new StepSpecification(
                count,
                Resources.of(1_000, 100, 0),
                1_000,
                dependsOn,
                Set.of(traits),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
    }

    private JobResponse submit(String path, StepSpecification... steps) {
        JobDefinition definition = new JobDefinition("work", List.of(steps), Recurrence.ONCE);
        return join(leader.client.submit("site.example", path, definition, TIMEOUT));
    }

    private JobPhase phase(String path) {
        JobResponse response = join(leader.client.show("site.example", path, TIMEOUT));
        assertThat(response).isInstanceOf(JobResponse.Phase.class);
        return ((JobResponse.Phase) response).phase();
    }

    private static JobResponse join(CompletionStage<JobResponse> stage) {
        return stage.toCompletableFuture().join();
    }

    private final List<FakeHost> hosts = new ArrayList<>(List.of(host));

    private void sendHeartbeat() {
        leader.client
                .sendHeartbeat(host.heartbeat(false), TIMEOUT)
                .toCompletableFuture()
                .join();
        advance(200);
    }

    private void terminateAllRuns(TerminalStatus status) {
        hosts.forEach(each -> each.terminateRuns(status, 0));
    }

    private void advance(long millis) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 10) {
            time.advance(Duration.ofMillis(10));
        }
    }

    private void advanceWithHeartbeats(long millis, FakeHost reportingHost) {
        for (long elapsedMillis = 0; elapsedMillis < millis; elapsedMillis += 1_000) {
            leader.client
                    .sendHeartbeat(reportingHost.heartbeat(false), TIMEOUT)
                    .toCompletableFuture()
                    .join();
            advance(1_000);
        }
    }

    /** A control process whose requests and commands bypass the network. */
    private final class ControlNode {
        private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();
        private final SharedLog.Member member = log.join(stateMachine);
        private final WorkflowLoop loop = WorkflowLoop.start(
                member,
                stateMachine,
                time,
                command -> CompletableFuture.completedFuture(hosts.stream()
                        .filter(candidate -> candidate.incarnation().equals(command.host()))
                        .findFirst()
                        .orElseThrow()
                        .handle(command)),
                TIMINGS);
        private final WorkflowClient client =
                WorkflowClient.of(new DirectGateway(WorkflowService.of(member, stateMachine, loop, time)));

        void becomeLeader() {
            log.elect(member);
            leader = this;
        }
    }

    /** Calls the service directly. */
    private record DirectGateway(WorkflowService service) implements ControlGateway {
        @Override
        public CompletionStage<Frame> callLeader(Frame request, boolean repeatable, Duration timeout) {
            return service.handle(request);
        }

        @Override
        public List<CompletionStage<Frame>> callEveryMember(Frame request, Duration timeout) {
            return List.of(service.handle(request));
        }
    }

    private final class StartRecorder implements FakeHost.Listener {
        @Override
        public void runStarted(FakeHost onHost, RunId run) {
            startedRuns.add(run);
        }

        @Override
        public void runTerminated(FakeHost onHost, RunId run, TerminalStatus status) {}

        @Override
        public void terminationAcknowledged(FakeHost onHost, RunId run, TerminalStatus status, boolean leaseHeld) {}
    }
}
