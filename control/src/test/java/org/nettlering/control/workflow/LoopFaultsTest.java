package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.UnaryOperator;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.control.workflow.SharedLog.ProposalFault;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;

/**
 * A part of the leader's loop that fails, or an outcome that never comes, delays what belongs to it and nothing else: hosts
 * are polled, leases renewed, and tasks started and stopped.
 */
class LoopFaultsTest implements FakeHost.Listener {
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();
    private final SharedLog sharedLog = new SharedLog();
    private final SharedLog.Member log = sharedLog.join(stateMachine);
    private ProposalFault proposalFault = ProposalFault.NONE;
    private final FailingStages stages = new FailingStages();
    private final FakeHost first = new FakeHost("h1", "10.0.0.1:80", time, this);
    private final FakeHost second = new FakeHost("h2", "10.0.0.2:80", time, this);
    private final List<String> terminations = new ArrayList<>();
    private UnaryOperator<CompletionStage<HostResponse>> responseFault = UnaryOperator.identity();
    private Class<? extends HostCommand> faultyKind = HostCommand.class;
    private Set<FakeHost> faultyHosts = Set.of();
    private boolean faulty;
    private final WorkflowLoop loop = WorkflowLoop.startTimed(log, stateMachine, time, this::send, TIMINGS, stages);

    @BeforeEach
    void injectProposalFaults() {
        sharedLog.injectProposalFaults(() -> proposalFault);
    }

    @AfterEach
    void close() {
        loop.close();
    }

    @Test
    void leasesAreRenewedWhileEveryPlanFails() {
        startOneRunOnEachHost();
        stages.failing = LoopStage.PLAN;
        advance(8_000);
        assertThat(terminations).isEmpty();
        assertThat(runningCount()).isEqualTo(2);
    }

    @Test
    void cancelledRunsAreStoppedWhileEveryPlanFails() {
        startOneRunOnEachHost();
        stages.failing = LoopStage.PLAN;
        cancel("job0");
        cancel("job1");
        advance(1_000);
        assertThat(terminations).hasSize(2).allMatch(line -> line.endsWith("STOPPED"));
    }

    @Test
    void aCommandWhoseSendingThrowsLosesNoOthers() {
        startOneRunOnEachHost();
        inject(first, HostCommand.Poll.class, response -> {
            throw new IllegalStateException("injected");
        });
        advance(3_000);
        faulty = false;
        advance(8_000);
        assertThat(terminations).isEmpty();
        assertThat(runningCount()).isEqualTo(2);
    }

    @Test
    void aHostIsPolledAgainWhenThePollHasNoOutcome() {
        startOneRunOnEachHost();
        inject(first, HostCommand.Poll.class, response -> new CompletableFuture<>());
        advance(1_500);
        faulty = false;
        advance(12_000);
        long polls = first.pollCount();
        advance(5_000);
        assertThat(first.pollCount()).isGreaterThan(polls);
    }

    @Test
    void aStopIsSentAgainWhenItHasNoOutcome() {
        startOneRunOnEachHost();
        loseOutcomes(HostCommand.Stop.class);
        cancel("job0");
        cancel("job1");
        advance(100);
        faulty = false;
        advance(10_000);
        assertThat(terminations).hasSize(2).allMatch(line -> line.endsWith("STOPPED"));
    }

    @Test
    void aTaskRunsWhenTheCommandOfItsFirstStartHasNoOutcome() {
        sendHeartbeats();
        advance(200);
        loseOutcomes(HostCommand.Start.class);
        submit("job0");
        advance(100);
        faulty = false;
        advance(15_000);
        assertThat(runningCount()).isEqualTo(1);
    }

    @Test
    void tasksStartAfterABatchWhoseProposalThrows() {
        sendHeartbeats();
        advance(200);
        proposalFault = ProposalFault.EXCEPTION;
        submit("job0");
        advance(300);
        proposalFault = ProposalFault.NONE;
        advance(300);
        assertThat(runningCount()).isEqualTo(1);
    }

    @Test
    void tasksStartAfterABatchThatHasNoOutcomeAndIsLost() {
        sendHeartbeats();
        advance(200);
        proposalFault = ProposalFault.LOST;
        submit("job0");
        advance(300);
        proposalFault = ProposalFault.NONE;
        advance(15_000);
        assertThat(runningCount()).isEqualTo(1);
    }

    @Test
    void tasksStartAfterABatchThatCommitsWithoutAnOutcome() {
        sendHeartbeats();
        advance(200);
        proposalFault = ProposalFault.LOST_OUTCOME;
        submit("job0");
        advance(300);
        proposalFault = ProposalFault.NONE;
        advance(15_000);
        assertThat(runningCount()).isEqualTo(1);
    }

    @Test
    void leasesAreRenewedWhileATerminationAwaitsItsCommit() {
        first.crash();
        sendHeartbeats();
        advance(200);
        submit("job0", 1_000);
        submit("job1", 1_000);
        advance(200);
        assertThat(second.runningCount()).isEqualTo(2);
        proposalFault = ProposalFault.LOST;
        second.terminateIfRunning(second.runs().getFirst(), TerminalStatus.FAILED);
        advance(8_000);
        assertThat(second.runningCount()).isEqualTo(1);
    }

    @Test
    void aHostWhoseResponseCannotBeHandledIsStillPolled() {
        startOneRunOnEachHost();
        inject(first, HostCommand.Poll.class, response -> response.thenApply(LoopFaultsTest::withoutCheckpoints));
        advance(3_000);
        faulty = false;
        advance(8_000);
        assertThat(terminations).isEmpty();
        first.terminateIfRunning(first.runs().getFirst(), TerminalStatus.DONE);
        advance(2_000);
        assertThat(openJobs()).isEqualTo(1);
    }

    @Test
    void aTerminationIsCommittedAfterAResponseThatCannotBeHandled() {
        startOneRunOnEachHost();
        inject(first, HostCommand.Poll.class, response -> response.thenApply(LoopFaultsTest::withoutCheckpoints));
        first.terminateIfRunning(first.runs().getFirst(), TerminalStatus.DONE);
        advance(2_000);
        faulty = false;
        advance(10_000);
        assertThat(openJobs()).isEqualTo(1);
        assertThat(second.runningCount()).isEqualTo(1);
    }

    /** Returns a response whose runs have no checkpoint at all, which no session can handle. */
    @SuppressWarnings("NullAway")
    private static HostResponse withoutCheckpoints(HostResponse response) {
        if (!(response instanceof HostResponse.PollResult result)) {
            return response;
        }
        return new HostResponse.PollResult(
                result.clockMillis(),
                result.running().stream()
                        .map(run -> new HostResponse.ReportedRun(run.run(), null, run.progressPercent(), run.load()))
                        .toList(),
                result.terminations().stream()
                        .map(termination -> new HostResponse.ReportedTermination(
                                termination.sequence(), termination.run(), termination.status(), null))
                        .toList());
    }

    private void startOneRunOnEachHost() {
        sendHeartbeats();
        advance(200);
        submit("job0");
        advance(200);
        submit("job1");
        advance(200);
        assertThat(first.runningCount()).isEqualTo(1);
        assertThat(second.runningCount()).isEqualTo(1);
    }

    private int runningCount() {
        return first.runningCount() + second.runningCount();
    }

    private long openJobs() {
        return stateMachine.read((state, queues) ->
                state.jobs().stream().filter(job -> job.phase().isOpen()).count());
    }

    /** Injects a fault into the responses of one host to one kind of command. */
    private void inject(
            FakeHost host, Class<? extends HostCommand> kind, UnaryOperator<CompletionStage<HostResponse>> fault) {
        faultyHosts = Set.of(host);
        faultyKind = kind;
        responseFault = fault;
        faulty = true;
    }

    /** Lets commands of one kind get lost, without an outcome, on their way to any host. */
    private void loseOutcomes(Class<? extends HostCommand> kind) {
        inject(first, kind, response -> new CompletableFuture<>());
        faultyHosts = Set.of(first, second);
    }

    private CompletionStage<HostResponse> send(HostCommand command) {
        FakeHost host = command.host().equals(first.incarnation()) ? first : second;
        boolean affected = faulty && faultyHosts.contains(host) && faultyKind.isInstance(command);
        if (affected && !(command instanceof HostCommand.Poll)) {
            // The host never receives it.
            return responseFault.apply(CompletableFuture.completedStage(new HostResponse.NoResponse("lost")));
        }
        return affected
                ? responseFault.apply(CompletableFuture.completedStage(host.handle(command)))
                : CompletableFuture.completedStage(host.handle(command));
    }

    /** Advances the time in steps of 20 ms, with a heartbeat of each host in every second. */
    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 20) {
            time.advance(Duration.ofMillis(20));
            first.expireLeaseIfDue();
            second.expireLeaseIfDue();
            if (time.nanoTime() / 20_000_000 % 50 == 0) {
                sendHeartbeats();
            }
        }
    }

    private void sendHeartbeats() {
        for (FakeHost host : List.of(first, second)) {
            if (host.isUp()) {
                HostHeartbeat heartbeat = host.heartbeat(false);
                loop.update(leadership -> leadership.receiveHeartbeat(heartbeat, time.nanoTime()));
            }
        }
    }

    private void cancel(String jobId) {
        apply(new WorkflowCommand.CancelJob(jobId));
        loop.updateWithState((state, leadership) -> state.job(jobId).ifPresent(leadership::stopRuns));
    }

    /** Submits a job whose only task leaves no room for another one on its host. */
    private void submit(String jobId) {
        submit(jobId, 3_000);
    }

    private void submit(String jobId, long millicores) {
        StepSpecification step = new StepSpecification(
                1,
                Resources.of(millicores, 100, 0),
                600_000,
                List.of(),
                Set.of(),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 9, 1.5, 250, false));
        apply(new WorkflowCommand.SubmitJob(
                jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0));
    }

    private void apply(WorkflowCommand command) {
        ProposalFault fault = proposalFault;
        proposalFault = ProposalFault.NONE;
        log.propose(SiteCommand.newBuilder()
                        .setWorkflow(WorkflowCommandCodec.encode(command))
                        .build())
                .toCompletableFuture()
                .join();
        proposalFault = fault;
        loop.requestPlanAndRun();
    }

    @Override
    public void runStarted(FakeHost host, RunId run) {}

    @Override
    public void runTerminated(FakeHost host, RunId run, TerminalStatus status) {
        terminations.add(run + " " + status);
    }

    @Override
    public void terminationAcknowledged(FakeHost host, RunId run, TerminalStatus status, boolean leaseHeld) {}

    /** Throws at the beginning of a stage. */
    private static final class FailingStages implements LoopTimer {
        private LoopStage failing = LoopStage.REQUEST;

        @Override
        public void stageStarted(LoopStage stage) {
            if (stage == failing && stage != LoopStage.REQUEST) {
                throw new IllegalStateException("injected");
            }
        }

        @Override
        public void stageEnded(LoopStage stage) {}
    }
}
