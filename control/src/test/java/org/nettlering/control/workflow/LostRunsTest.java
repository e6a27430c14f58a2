package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** How the leader handles the runs of a host that is lost, shuts down or turns out to be alive. */
class LostRunsTest extends LeaderFixture {
    private static final int HOSTS = 3;

    LostRunsTest() {
        super(HOSTS);
    }

    /** Proposes the next batch, if there is one, and lets it commit. */
    private void commitNextBatch() {
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        batch.forEach(state::apply);
        if (!batch.isEmpty()) {
            leadership.batchCommitted(state, batch, nowNanos);
        }
    }

    @Test
    void terminationsFromAPollInFlightAreAwaitedAfterTheHostShutsDown() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        leadership.hostShuttingDown(poll.host().id(), HostIncarnation.UNKNOWN_START, () -> {}, nowNanos);
        nowNanos += 1_600 * NANOS_PER_MILLI;
        leadership.markAllHostsDue();
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        HostResponse pollResult = new HostResponse.PollResult(
                2_600, List.of(), List.of(new ReportedTermination(1, run, TerminalStatus.DONE, "")));
        leadership.handleResponse(state, poll, nowNanos - 1_600 * NANOS_PER_MILLI, pollResult, nowNanos);
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .containsExactly(new RecordTermination(run, TerminalStatus.DONE, ""));
    }

    /** Guards against TWICE: a task started elsewhere while the host that had announced its end still ran it. */
    @Test
    void aTaskWaitsForTheLeaseOfAHostThatAnnouncedItsEndAndFellSilent() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        long noticeNanos = nowNanos;
        leadership.hostShuttingDown(poll.host().id(), HostIncarnation.UNKNOWN_START, () -> {}, nowNanos);
        leadership.handleResponse(state, poll, nowNanos, new HostResponse.NoResponse("cut off"), nowNanos);
        List<WorkflowCommand> batch = List.of();
        while (batch.isEmpty() && nowNanos < noticeNanos + 20_000 * NANOS_PER_MILLI) {
            nowNanos += 50 * NANOS_PER_MILLI;
            leadership.markAllHostsDue();
            for (HostCommand command : leadership.dueCommands(nowNanos)) {
                leadership.handleResponse(state, command, nowNanos, new HostResponse.NoResponse("cut off"), nowNanos);
            }
            batch = leadership.nextBatch(state, nowNanos, 0);
        }
        assertThat(batch).containsExactly(new RecordTermination(run, TerminalStatus.HOST_LOST, ""));
        // The lease of 5 s was asked for at the last poll before the notice, which may have arrived.
        assertThat(nowNanos - noticeNanos).isBetween(5_000 * NANOS_PER_MILLI, 6_000 * NANOS_PER_MILLI);
    }

    @Test
    void theEndsOfStoppedRunsAreProofBeforeTheLeaseIsOver() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        AtomicInteger emptied = new AtomicInteger();
        leadership.hostShuttingDown(
                poll.host().id(), HostIncarnation.UNKNOWN_START, emptied::incrementAndGet, nowNanos);
        assertThat(leadership.dueCommands(nowNanos)).containsExactly(new HostCommand.Stop(poll.host(), 1, run));
        HostResponse pollResult = new HostResponse.PollResult(
                1_200, List.of(), List.of(new ReportedTermination(1, run, TerminalStatus.STOPPED, "saved")));
        leadership.handleResponse(state, poll, nowNanos - NANOS_PER_MILLI, pollResult, nowNanos);
        assertThat(emptied).as("before the end is committed").hasValue(0);
        commitNextBatch();
        assertThat(emptied).hasValue(1);
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .as("the task resumes elsewhere")
                .singleElement()
                .isInstanceOfSatisfying(StartRun.class, start -> {
                    assertThat(start.run().host()).isNotEqualTo(poll.host());
                    assertThat(start.run().checkpoint()).isEqualTo("saved");
                });
    }

    @Test
    void aHostWithoutRunsIsEmptyAtOnce() {
        AtomicInteger emptied = new AtomicInteger();
        leadership.hostShuttingDown("h0", HostIncarnation.UNKNOWN_START, emptied::incrementAndGet, nowNanos);
        leadership.hostShuttingDown("unknown", HostIncarnation.UNKNOWN_START, emptied::incrementAndGet, nowNanos);
        assertThat(emptied).hasValue(2);
    }

    @Test
    void aStartThatCommitsAfterTheNoticeOfItsHostIsNotSent() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        RunId run = ((StartRun) batch.getFirst()).run().run();
        String hostId = ((StartRun) batch.getFirst()).run().host().id();
        leadership.hostShuttingDown(hostId, HostIncarnation.UNKNOWN_START, () -> {}, nowNanos);
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Start.class::isInstance);
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .contains(new RecordTermination(run, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void aStartIsTerminatedWhenItsHostIsLostBeforeTheStartCommits() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        ActiveRun run = ((StartRun) batch.getFirst()).run();
        // Another incarnation responds at the address of the host, so the one of the run has terminated.
        HostCommand poll = new HostCommand.Poll(run.host(), 1, 0, 0, 0);
        leadership.handleResponse(state, poll, nowNanos, new HostResponse.OtherIncarnation(), nowNanos);
        leadership.dueCommands(nowNanos);
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
        for (int tick = 0; tick < 600; tick++) {
            nowNanos += 100 * NANOS_PER_MILLI;
            leadership.markAllHostsDue();
            leadership.requestPlan();
            commitNextBatch();
            leadership.dueCommands(nowNanos);
        }
        assertThat(state.isActive(run.run()))
                .as("still active on a lost host after one minute")
                .isFalse();
    }

    /** The host reports DONE for a run after HOST_LOST was inferred for it and proposed, but not yet committed. */
    @Test
    void doneIsAcknowledgedOnlyAfterItCommitsWhenHostLostCommitsFirst() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        leadership.handleResponse(state, poll, nowNanos, new HostResponse.NoResponse("timeout"), nowNanos);
        // Longer than the lease of 5 s, the stop grace period and all margins; no heartbeats arrive meanwhile either.
        nowNanos += 7_500 * NANOS_PER_MILLI;
        leadership.markAllHostsDue();
        List<WorkflowCommand> hostLostBatch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(hostLostBatch).containsExactly(new RecordTermination(run, TerminalStatus.HOST_LOST, ""));
        HostCommand nextPoll = leadership.dueCommands(nowNanos).stream()
                .filter(command -> command.host().equals(poll.host()))
                .findFirst()
                .orElseThrow();
        nowNanos += 5 * NANOS_PER_MILLI;
        HostResponse pollResult = new HostResponse.PollResult(
                8_600, List.of(), List.of(new ReportedTermination(1, run, TerminalStatus.DONE, "")));
        leadership.handleResponse(state, nextPoll, nowNanos - NANOS_PER_MILLI, pollResult, nowNanos);
        hostLostBatch.forEach(state::apply);
        leadership.batchCommitted(state, hostLostBatch, nowNanos);
        nowNanos += 200 * NANOS_PER_MILLI;
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .contains(new RecordTermination(run, TerminalStatus.DONE, ""));
        assertThat(leadership.dueCommands(nowNanos))
                .noneMatch(command ->
                        command instanceof HostCommand.Poll pollCommand && pollCommand.acknowledgedThrough() >= 1);
        List<WorkflowCommand> doneBatch = List.of(new RecordTermination(run, TerminalStatus.DONE, ""));
        doneBatch.forEach(state::apply);
        leadership.batchCommitted(state, doneBatch, nowNanos);
        assertThat(leadership.dueCommands(nowNanos))
                .as("a poll that acknowledges the termination")
                .anyMatch(command ->
                        command instanceof HostCommand.Poll pollCommand && pollCommand.acknowledgedThrough() == 1);
    }
}
