package org.nettlering.wire.codec;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.Batch;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.domain.workflow.WorkflowCommand.RaiseFence;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.wire.proto.WorkflowProto.RunEndMessage;

class WorkflowCommandCodecTest {
    private static final RunId RUN = new RunId(TaskId.of("0123456789abcdef", 0, 1, 2), 3);

    @ParameterizedTest
    @EnumSource
    void everyTerminalStatusIsRestored(TerminalStatus status) {
        RecordTermination termination = new RecordTermination(RUN, status, "saved");
        assertThat(WorkflowCommandCodec.decode(WorkflowCommandCodec.encode(termination)))
                .isEqualTo(termination);
    }

    @Test
    void theStartOfTheHostIsRestored() {
        HostIncarnation host = new HostIncarnation("i-1", "10.0.0.1:80");
        StartRun start = new StartRun(new ActiveRun(RUN, host, "saved", 1_796_391_580_000L));
        assertThat(WorkflowCommandCodec.decode(WorkflowCommandCodec.encode(start)))
                .isEqualTo(start);
        HostHeartbeat heartbeat = new HostHeartbeat(
                host, "pool", "fd", Resources.of(1, 2, 3), "a", "r1", true, 4, 5, 1_796_391_580_000L, 6, 7);
        assertThat(HostReportCodec.decode(HostReportCodec.encode(heartbeat))).isEqualTo(heartbeat);
    }

    @Test
    void raisesOfTheFencingTokenAreRestoredWithTheirBatch() {
        Batch batch = new Batch(List.of(new RecordTermination(RUN, TerminalStatus.DONE, ""), new RaiseFence()));
        assertThat(WorkflowCommandCodec.decode(WorkflowCommandCodec.encode(batch)))
                .isEqualTo(batch);
    }

    @Test
    void changesOfEvacuationsAreRestored() {
        ChangeEvacuation change = new ChangeEvacuation("zone-a", true, 7);
        assertThat(WorkflowCommandCodec.decode(WorkflowCommandCodec.encode(change)))
                .isEqualTo(change);
    }

    @Test
    void aMemberOfTheVersionBeforeTakesAHostThatCrashedForLost() {
        RecordTermination termination = new RecordTermination(RUN, TerminalStatus.CRASHED_HOST, "");
        assertThat(WorkflowCommandCodec.encode(termination).getEnd().getHow()).isEqualTo(RunEndMessage.RUN_HOST_LOST);
    }
}
