package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;

/** The leader's work for one host or command fails without effect on others, and lost outcomes are made up for. */
class LeaderIsolationTest extends LeaderFixture {
    private static final int HOSTS = 2;

    LeaderIsolationTest() {
        super(HOSTS);
    }

    @Test
    @SuppressWarnings("NullAway")
    void aHostWhoseCapacityCannotBeComputedDoesNotKeepTasksFromOthers() {
        HostHeartbeat heartbeat = heartbeat(0);
        leadership.receiveHeartbeat(
                new HostHeartbeat(heartbeat.host(), "pool", "fd", null, "a", "r1", false, 1_000, 2), nowNanos);
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        assertThat(((StartRun) batch.getFirst()).run().host())
                .isEqualTo(heartbeat(1).host());
    }

    @Test
    @SuppressWarnings("NullAway")
    void aCommittedCommandThatCannotBeHandledDoesNotKeepTheRestOfItsBatchFromBeing() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        batch.forEach(state::apply);
        leadership.batchCommitted(state, List.of(new StartRun(null), batch.getFirst()), nowNanos);
        assertThat(leadership.dueCommands(nowNanos)).anyMatch(HostCommand.Start.class::isInstance);
    }

    @Test
    void aStartWhoseCommitWasNotHandledIsSent() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        batch.forEach(state::apply);
        leadership.batchFailed(batch);
        advance(2_000);
        leadership.nextBatch(state, nowNanos, 0);
        assertThat(leadership.dueCommands(nowNanos)).anyMatch(HostCommand.Start.class::isInstance);
    }

    @Test
    void aRunIsStoppedWhenTheEndOfItsJobWasNotHandled() {
        startRun("a");
        acceptStartAndGetNextPoll();
        state.apply(new CancelJob("a"));
        advance(2_000);
        leadership.nextBatch(state, nowNanos, 0);
        assertThat(leadership.dueCommands(nowNanos)).anyMatch(HostCommand.Stop.class::isInstance);
    }

    @Test
    void aRunIsForgottenWhenTheCommitOfItsTerminationWasNotHandled() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        HostResponse stopped = new HostResponse.PollResult(
                1_002, List.of(), List.of(new HostResponse.ReportedTermination(1, run, TerminalStatus.STOPPED, "")));
        leadership.handleResponse(state, poll, nowNanos, stopped, nowNanos);
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        batch.forEach(state::apply);
        leadership.batchFailed(List.of());
        // Longer than the deadline of a batch, which is proposed again, and which is committed without being handled
        // again.
        advance(10_500);
        leadership.nextBatch(state, nowNanos, 0);
        leadership.batchFailed(batch);
        advance(2_000);
        leadership.nextBatch(state, nowNanos, 0);
        assertThat(leadership.dueCommands(nowNanos))
                .as("a poll that acknowledges the termination")
                .anyMatch(command ->
                        command instanceof HostCommand.Poll acknowledging && acknowledging.acknowledgedThrough() == 1);
    }

    /** Without the check of the host, both hosts would run the task. */
    @Test
    void aStartOfARunThatIsActiveOnAnotherHostIsNotSent() {
        RunId run = startRun("a");
        ActiveRun active = ((HostCommand.Start) leadership.dueCommands(nowNanos).getFirst()).run();
        HostHeartbeat other = active.host().equals(heartbeat(0).host()) ? heartbeat(1) : heartbeat(0);
        leadership.batchCommitted(state, List.of(new StartRun(new ActiveRun(run, other.host(), ""))), nowNanos);
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Start.class::isInstance);
    }

    @Test
    void aTerminationIsProposedAgainWhenItsBatchHasNoOutcome() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        HostResponse failed = new HostResponse.PollResult(
                1_002, List.of(), List.of(new HostResponse.ReportedTermination(1, run, TerminalStatus.FAILED, "")));
        leadership.handleResponse(state, poll, nowNanos, failed, nowNanos);
        RecordTermination termination = new RecordTermination(run, TerminalStatus.FAILED, "");
        assertThat(leadership.nextBatch(state, nowNanos, 0)).contains(termination);
        advance(9_000);
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        advance(1_500);
        assertThat(leadership.nextBatch(state, nowNanos, 0)).contains(termination);
    }

    private void advance(long millis) {
        nowNanos += millis * NANOS_PER_MILLI;
        leadership.markAllHostsDue();
        leadership.requestPlan();
    }
}
