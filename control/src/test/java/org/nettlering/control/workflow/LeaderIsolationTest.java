package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;

/** The leader's work for one host or command fails without effect on others. */
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
}
