package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** What the leader makes of runs whose host is lost, leaves or turns out to be alive. */
class LostRunsTest extends LeaderScene {
    private static final int HOSTS = 3;

    LostRunsTest() {
        super(HOSTS);
    }

    private void commitNext() {
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        batch.forEach(state::apply);
        if (!batch.isEmpty()) {
            leadership.batchCommitted(state, batch, nowNanos);
        }
    }

    @Test
    void whatALookThatIsOutBringsAfterTheHostLeftIsWaitedFor() {
        RunId run = startOne("a");
        HostCommand look = startedAndLookedAt();
        leadership.hostShuttingDown(look.host().id(), nowNanos);
        nowNanos += 1_600 * MILLI;
        leadership.markAllHostsDue();
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        HostResponse listing = new HostResponse.PollResult(
                2_600, List.of(), List.of(new ReportedTermination(1, run, TerminalStatus.DONE, "")));
        leadership.handleResponse(state, look, nowNanos - 1_600 * MILLI, listing, nowNanos);
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .containsExactly(new RecordTermination(run, TerminalStatus.DONE, ""));
    }

    @Test
    void aStartWhoseHostTurnsOutGoneWhileItIsLoggedEnds() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        ActiveRun run = ((StartRun) batch.getFirst()).run();
        HostCommand look = new HostCommand.Poll(run.host(), 1, 0, 0, 0);
        leadership.handleResponse(state, look, nowNanos, new HostResponse.OtherIncarnation(), nowNanos);
        leadership.dueCommands(nowNanos);
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
        for (int tick = 0; tick < 600; tick++) {
            nowNanos += 100 * MILLI;
            leadership.markAllHostsDue();
            leadership.requestPlan();
            commitNext();
            leadership.dueCommands(nowNanos);
        }
        assertThat(state.isActive(run.run()))
                .as("still at work on a host that is gone, after a minute")
                .isFalse();
    }

    @Test
    void doneIsNotForgottenByItsHostBeforeItIsLoggedWhenTheLossIsLoggedFirst() {
        RunId run = startOne("a");
        HostCommand look = startedAndLookedAt();
        leadership.handleResponse(state, look, nowNanos, new HostResponse.NoResponse("timeout"), nowNanos);
        nowNanos += 7_500 * MILLI;
        leadership.markAllHostsDue();
        List<WorkflowCommand> lost = leadership.nextBatch(state, nowNanos, 0);
        assertThat(lost).containsExactly(new RecordTermination(run, TerminalStatus.HOST_LOST, ""));
        HostCommand next = leadership.dueCommands(nowNanos).stream()
                .filter(order -> order.host().equals(look.host()))
                .findFirst()
                .orElseThrow();
        nowNanos += 5 * MILLI;
        HostResponse listing = new HostResponse.PollResult(
                8_600, List.of(), List.of(new ReportedTermination(1, run, TerminalStatus.DONE, "")));
        leadership.handleResponse(state, next, nowNanos - MILLI, listing, nowNanos);
        lost.forEach(state::apply);
        leadership.batchCommitted(state, lost, nowNanos);
        nowNanos += 200 * MILLI;
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .contains(new RecordTermination(run, TerminalStatus.DONE, ""));
        assertThat(leadership.dueCommands(nowNanos))
                .noneMatch(order -> order instanceof HostCommand.Poll hold && hold.acknowledgedThrough() >= 1);
        List<WorkflowCommand> done = List.of(new RecordTermination(run, TerminalStatus.DONE, ""));
        done.forEach(state::apply);
        leadership.batchCommitted(state, done, nowNanos);
        assertThat(leadership.dueCommands(nowNanos))
                .as("a look that lets the host forget the end")
                .anyMatch(order -> order instanceof HostCommand.Poll hold && hold.acknowledgedThrough() == 1);
    }
}
