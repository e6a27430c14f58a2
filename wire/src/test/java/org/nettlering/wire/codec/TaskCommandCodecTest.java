package org.nettlering.wire.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskEpoch;
import org.nettlering.domain.task.TerminationReason;
import org.nettlering.wire.proto.TaskProto;

class TaskCommandCodecTest {
    private static final Resources SIZE = Resources.of(2_000, 4_096, 1);

    @ParameterizedTest
    @MethodSource("everyCommand")
    void everyCommandSurvivesTheLog(TaskCommand command) {
        assertThat(TaskCommandCodec.decode(TaskCommandCodec.encode(command))).isEqualTo(command);
    }

    @Test
    void everyKindOfCommandIsCovered() {
        assertThat(everyCommand()).hasSize(TaskCommand.class.getPermittedSubclasses().length);
    }

    @Test
    void anAmountOutOfRangeIsRefused() {
        TaskProto.Resources message =
                TaskProto.Resources.newBuilder().setMillicores(Long.MAX_VALUE).build();

        assertThatThrownBy(() -> TaskCodec.resources(message))
                .isInstanceOfSatisfying(
                        NettleringException.class,
                        exception -> assertThat(exception.code()).isEqualTo(ErrorCode.INVALID_ARGUMENT));
    }

    @Test
    void aNameThatIsTooLongIsRefused() {
        TaskProto.JobSpecification message = TaskProto.JobSpecification.newBuilder()
                .setJobId("x".repeat(201))
                .build();

        assertThatThrownBy(() -> TaskCodec.job(message))
                .isInstanceOf(NettleringException.class)
                .hasMessageContaining("job_id");
    }

    static List<TaskCommand> everyCommand() {
        JobSpecification job = new JobSpecification(
                "job", "team", "profile", "service", "class", SIZE, 30_000, 60_000, 1_900_000_000_000L, true);
        TaskCommand cancel = new TaskCommand.Cancel(5, "operation", "job");
        return List.of(
                new TaskCommand.Submit(5, "operation", job),
                cancel,
                new TaskCommand.RegisterWorker(
                        5, "worker", 3, SIZE, "rack", "domain", 100_000, List.of(new TaskEpoch("job", 2))),
                new TaskCommand.Start(5, "job", "worker", SIZE, 30_000, 50, "rule", "figures"),
                new TaskCommand.RecordProgress(5, "job", 2, 7),
                new TaskCommand.RecordTermination(5, "job", 2, TerminationReason.FAILED, 7, "exit code 1"),
                new TaskCommand.MarkWorkerLost(5, "worker", 4),
                new TaskCommand.Throttle(5, "job", 2, 50, "rule", "figures"),
                new TaskCommand.ConfirmThrottle(5, "job", 2, 9),
                new TaskCommand.Evict(5, "job", 2, 10_000, "rule", "figures"),
                new TaskCommand.Resize(5, "job", 2, SIZE, 40_000, "rule", "figures"),
                new TaskCommand.Quarantine(5, "worker", 60_000, "rule", "figures"),
                new TaskCommand.MarkUnrunnable(5, "job", "reason"),
                new TaskCommand.MarkRunnable(5, "job", "reason"),
                new TaskCommand.Batch(5, List.of(cancel)));
    }
}
