package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;

/** Guards against EVAC: a start on a host of a failure domain whose evacuation was acknowledged. */
class EvacuatedHostsTest extends LeaderFixture {
    private static final String FAILURE_DOMAIN = "fd";

    EvacuatedHostsTest() {
        super(1);
    }

    @Test
    void nothingIsPlannedOnHostsOfAnEvacuatedDomainUntilItIsTakenBack() {
        evacuate(true);
        submit("a");
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        evacuate(false);
        leadership.requestPlan();
        assertThat(leadership.nextBatch(state, nowNanos, 0)).hasSize(1).allMatch(StartRun.class::isInstance);
    }

    @Test
    void startThatWasPlannedBeforeTheOrderIsNotSent() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        RunId run = ((StartRun) batch.getFirst()).run().run();
        evacuate(true);
        commit(batch);
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Start.class::isInstance);
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .containsExactly(new RecordTermination(run, TerminalStatus.NOT_BEGUN, ""));
    }

    @Test
    void startThatWasCommittedAndNotSentBeforeTheOrderIsWithdrawn() {
        RunId run = startRun("a");
        evacuate(true);
        assertThat(leadership.nextBatch(state, nowNanos, 0))
                .containsExactly(new RecordTermination(run, TerminalStatus.NOT_BEGUN, ""));
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Start.class::isInstance);
    }

    @Test
    void runThatIsAtWorkIsNotStoppedByTheOrder() {
        startRun("a");
        acceptStartAndGetNextPoll();
        evacuate(true);
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Stop.class::isInstance);
    }

    private void commit(List<WorkflowCommand> batch) {
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
    }

    private void evacuate(boolean evacuated) {
        state.apply(new ChangeEvacuation(
                FAILURE_DOMAIN, evacuated, state.evacuations().version()));
    }
}
