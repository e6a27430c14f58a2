package org.nettlering.control.state;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.google.protobuf.InvalidProtocolBufferException;
import org.junit.jupiter.api.Test;
import org.nettlering.control.configuration.ConfigurationPart;
import org.nettlering.control.log.StatePart;
import org.nettlering.control.testing.EmptyPart;
import org.nettlering.control.workflow.WorkflowStateMachine;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.CommandProto.SiteSnapshot;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationChange;
import org.nettlering.wire.proto.ConfigurationProto.ConfigurationCommand;
import org.nettlering.wire.proto.WorkflowProto.WorkflowCommandMessage;

class SiteStateMachineTest {
    private final ConfigurationPart configuration = ConfigurationPart.create();
    private final SiteStateMachine machine =
            SiteStateMachine.of(configuration, new EmptyPart(), new EmptyPart(), new EmptyPart());

    @Test
    void aCommandReachesThePartThatItBelongsTo() throws InvalidProtocolBufferException {
        byte[] answer = machine.apply(1, powerCapCommand());

        assertThat(SiteResult.parseFrom(answer).getConfiguration().getRevision())
                .isEqualTo(1);
    }

    @Test
    void aCapturedStateDoesNotChangeWithLaterCommands() {
        machine.apply(1, powerCapCommand());
        var captured = machine.capture();
        machine.restore(SiteSnapshot.newBuilder().setFormatVersion(1).build().toByteArray());
        assertThat(configuration.state().current().revision()).isZero();

        machine.restore(captured.encode());

        assertThat(configuration.state().current().revision()).isEqualTo(1);
    }

    @Test
    void aSnapshotOfANewerFormatIsRefused() {
        byte[] newer = SiteSnapshot.newBuilder()
                .setFormatVersion(SiteStateMachine.FORMAT_VERSION + 1)
                .build()
                .toByteArray();

        assertRefused(ErrorCode.STORAGE_TOO_NEW, () -> machine.restore(newer));
    }

    @Test
    void aSnapshotHasTheOldestFormatThatHoldsTheStateSoThatOlderProgramsReadItOrRefuseIt()
            throws InvalidProtocolBufferException {
        WorkflowStateMachine workflow = WorkflowStateMachine.create();
        SiteStateMachine site = SiteStateMachine.of(configuration, new EmptyPart(), new EmptyPart(), workflow);
        assertThat(SiteSnapshot.parseFrom(site.capture().encode()).getFormatVersion())
                .isEqualTo(1);
        WorkflowCommandMessage evacuation = WorkflowCommandCodec.encode(new ChangeEvacuation("zone-a", true, 0));
        site.apply(1, SiteCommand.newBuilder().setWorkflow(evacuation).build().toByteArray());
        assertThat(SiteSnapshot.parseFrom(site.capture().encode()).getFormatVersion())
                .isEqualTo(2);
    }

    @Test
    void anEntryThatIsNotACommandIsRefused() {
        assertRefused(ErrorCode.STORAGE_CORRUPT, () -> machine.apply(1, new byte[] {-1, -1}));
        assertRefused(ErrorCode.STORAGE_TOO_NEW, () -> machine.apply(1, new byte[0]));
    }

    @Test
    void aCommandThatAPartCannotApplyFailsAloneAndTheSameWayOnEveryMember() {
        SiteStateMachine faulty =
                SiteStateMachine.of(configuration, new EmptyPart(), new EmptyPart(), new FaultyPart());

        assertRefused(ErrorCode.INTERNAL, () -> faulty.apply(1, workflowCommand()));
        assertThat(faulty.apply(2, powerCapCommand())).isNotEmpty();
    }

    /** A part with a fault of the program. */
    private static final class FaultyPart implements StatePart {
        @Override
        public SiteResult apply(SiteCommand command) {
            throw new IllegalStateException("no task 3fd85ccbdf37bd4e.0.0.12");
        }

        @Override
        public void save(SiteSnapshot.Builder snapshot) {}

        @Override
        public void restore(SiteSnapshot snapshot) {}
    }

    private static byte[] workflowCommand() {
        return SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandMessage.getDefaultInstance())
                .build()
                .toByteArray();
    }

    private static void assertRefused(ErrorCode code, Runnable action) {
        assertThatThrownBy(action::run)
                .isInstanceOfSatisfying(
                        NettleringException.class,
                        exception -> assertThat(exception.code()).isEqualTo(code));
    }

    private static byte[] powerCapCommand() {
        return SiteCommand.newBuilder()
                .setConfiguration(ConfigurationCommand.newBuilder()
                        .setOperationId("a")
                        .addChanges(ConfigurationChange.newBuilder().setPowerCapMilliwatts(5)))
                .build()
                .toByteArray();
    }
}
