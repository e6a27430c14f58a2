package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/** Guards against LIMIT: a host was given runs beyond a capacity that had shrunk while it ran. */
class ChangingCapacityTest extends LeaderFixture {
    private static final int SHRUNK_MILLICORES = 500;
    private static final int FULL_MILLICORES = 4_000;

    private long sequence = 1;

    ChangingCapacityTest() {
        super(1);
    }

    @Test
    void startThatWasPlannedBeforeItsHostShrankIsNotSent() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        RunId run = ((StartRun) batch.getFirst()).run().run();
        setCapacity(SHRUNK_MILLICORES);
        commit(batch);
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Start.class::isInstance);
        List<WorkflowCommand> next = leadership.nextBatch(state, nowNanos, 0);
        assertThat(next).containsExactly(new RecordTermination(run, TerminalStatus.NOT_BEGUN, ""));
        commit(next);
        setCapacity(FULL_MILLICORES);
        assertThat(leadership.nextBatch(state, nowNanos, 0)).hasSize(1).allMatch(StartRun.class::isInstance);
    }

    @Test
    void hostThatShrankBelowItsRunsStartsNothingUntilItGrows() {
        startRun("a");
        leadership.dueCommands(nowNanos);
        setCapacity(SHRUNK_MILLICORES);
        submit("b");
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        setCapacity(FULL_MILLICORES);
        leadership.requestPlan();
        assertThat(leadership.nextBatch(state, nowNanos, 0)).hasSize(1).allMatch(StartRun.class::isInstance);
    }

    private void commit(List<WorkflowCommand> batch) {
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
    }

    private void setCapacity(long millicores) {
        HostHeartbeat first = heartbeat(0);
        sequence++;
        leadership.receiveHeartbeat(
                new HostHeartbeat(
                        first.host(),
                        first.pool(),
                        first.failureDomain(),
                        Resources.of(millicores, 4_000, 0),
                        first.kind(),
                        first.rack(),
                        false,
                        first.clockMillis(),
                        sequence),
                nowNanos);
    }
}
