package org.nettlering.wire.codec;

import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskCommandResult;
import org.nettlering.domain.task.TaskEpoch;
import org.nettlering.wire.proto.TaskProto;

/** Translates the task commands of the replicated log. Stateless and thread-safe. */
public final class TaskCommandCodec {
    private TaskCommandCodec() {}

    /** Encodes a command. */
    public static TaskProto.TaskCommand encode(TaskCommand command) {
        TaskProto.TaskCommand.Builder builder = TaskProto.TaskCommand.newBuilder();
        switch (command) {
            case TaskCommand.Submit submit -> builder.setSubmit(encodeSubmit(submit));
            case TaskCommand.Cancel cancel -> builder.setCancel(encodeCancel(cancel));
            case TaskCommand.RegisterWorker register -> builder.setRegisterWorker(encodeRegister(register));
            case TaskCommand.Start start -> builder.setStart(encodeStart(start));
            case TaskCommand.RecordProgress progress -> builder.setRecordProgress(encodeProgress(progress));
            case TaskCommand.RecordTermination end -> builder.setRecordEnd(encodeEnd(end));
            case TaskCommand.MarkWorkerLost lost -> builder.setLoseWorker(encodeLost(lost));
            case TaskCommand.Throttle throttle -> builder.setThrottle(encodeThrottle(throttle));
            case TaskCommand.ConfirmThrottle confirmed -> builder.setConfirmThrottle(encodeConfirmed(confirmed));
            case TaskCommand.Evict evict -> builder.setEvict(encodeEvict(evict));
            case TaskCommand.Resize resize -> builder.setResize(encodeResize(resize));
            case TaskCommand.Quarantine quarantine -> builder.setQuarantine(encodeQuarantine(quarantine));
            case TaskCommand.MarkUnrunnable unrunnable -> builder.setMarkUnrunnable(encodeUnrunnable(unrunnable));
            case TaskCommand.MarkRunnable revive -> builder.setRevive(encodeRevive(revive));
            case TaskCommand.Batch batch -> builder.setBatch(encodeBatch(batch));
        }
        return builder.build();
    }

    /** Decodes a command. */
    public static TaskCommand decode(TaskProto.TaskCommand message) {
        return switch (message.getCommandCase()) {
            case SUBMIT -> decode(message.getSubmit());
            case CANCEL -> decode(message.getCancel());
            case REGISTER_WORKER -> decode(message.getRegisterWorker());
            case START -> decode(message.getStart());
            case RECORD_PROGRESS -> decode(message.getRecordProgress());
            case RECORD_END -> decode(message.getRecordEnd());
            case LOSE_WORKER -> decode(message.getLoseWorker());
            case THROTTLE -> decode(message.getThrottle());
            case CONFIRM_THROTTLE -> decode(message.getConfirmThrottle());
            case EVICT -> decode(message.getEvict());
            case RESIZE -> decode(message.getResize());
            case QUARANTINE -> decode(message.getQuarantine());
            case MARK_UNRUNNABLE -> decode(message.getMarkUnrunnable());
            case REVIVE -> decode(message.getRevive());
            case BATCH -> decode(message.getBatch());
            case COMMAND_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "task command is missing");
        };
    }

    /** Encodes an outcome. */
    public static TaskProto.TaskResult encode(TaskCommandResult outcome) {
        return TaskProto.TaskResult.newBuilder()
                .setErrorCode(outcome.errorCode().map(ErrorCode::text).orElse(""))
                .setErrorMessage(outcome.message())
                .build();
    }

    private static TaskProto.SubmitJobCommand encodeSubmit(TaskCommand.Submit command) {
        return TaskProto.SubmitJobCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setOperationId(command.operationId())
                .setJob(TaskCodec.job(command.job()))
                .build();
    }

    private static TaskCommand decode(TaskProto.SubmitJobCommand message) {
        return new TaskCommand.Submit(
                message.getTimeUnixMillis(), message.getOperationId(), TaskCodec.job(message.getJob()));
    }

    private static TaskProto.CancelJobCommand encodeCancel(TaskCommand.Cancel command) {
        return TaskProto.CancelJobCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setOperationId(command.operationId())
                .setJobId(command.jobId())
                .build();
    }

    private static TaskCommand decode(TaskProto.CancelJobCommand message) {
        return new TaskCommand.Cancel(message.getTimeUnixMillis(), message.getOperationId(), message.getJobId());
    }

    private static TaskProto.RegisterWorkerCommand encodeRegister(TaskCommand.RegisterWorker command) {
        TaskProto.RegisterWorkerCommand.Builder builder = TaskProto.RegisterWorkerCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setWorkerId(command.workerId())
                .setIncarnation(command.incarnation())
                .setCapacity(TaskCodec.resources(command.capacity()))
                .setRack(command.rack())
                .setFailureDomain(command.failureDomain())
                .setIdleMilliwatts(command.idleMilliwatts());
        for (TaskEpoch epoch : command.running()) {
            builder.addRunning(
                    TaskProto.TaskEpoch.newBuilder().setJobId(epoch.jobId()).setEpoch(epoch.epoch()));
        }
        return builder.build();
    }

    private static TaskCommand decode(TaskProto.RegisterWorkerCommand message) {
        return new TaskCommand.RegisterWorker(
                message.getTimeUnixMillis(),
                message.getWorkerId(),
                message.getIncarnation(),
                TaskCodec.resources(message.getCapacity()),
                message.getRack(),
                message.getFailureDomain(),
                message.getIdleMilliwatts(),
                message.getRunningList().stream()
                        .map(epoch -> new TaskEpoch(epoch.getJobId(), epoch.getEpoch()))
                        .toList());
    }

    private static TaskProto.StartCommand encodeStart(TaskCommand.Start command) {
        return TaskProto.StartCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setWorkerId(command.workerId())
                .setCommitment(TaskCodec.resources(command.allocation()))
                .setPowerMilliwatts(command.powerMilliwatts())
                .setThrottlePercent(command.speedPercent())
                .setRule(command.rule())
                .setFigures(command.details())
                .build();
    }

    private static TaskCommand decode(TaskProto.StartCommand message) {
        return new TaskCommand.Start(
                message.getTimeUnixMillis(),
                message.getJobId(),
                message.getWorkerId(),
                TaskCodec.resources(message.getCommitment()),
                message.getPowerMilliwatts(),
                message.getThrottlePercent(),
                message.getRule(),
                message.getFigures());
    }

    private static TaskProto.RecordProgressCommand encodeProgress(TaskCommand.RecordProgress command) {
        return TaskProto.RecordProgressCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setEpoch(command.epoch())
                .setCheckpointSequence(command.checkpoint())
                .build();
    }

    private static TaskCommand decode(TaskProto.RecordProgressCommand message) {
        return new TaskCommand.RecordProgress(
                message.getTimeUnixMillis(), message.getJobId(), message.getEpoch(), message.getCheckpointSequence());
    }

    private static TaskProto.RecordEndCommand encodeEnd(TaskCommand.RecordTermination command) {
        return TaskProto.RecordEndCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setEpoch(command.epoch())
                .setReason(TaskCodec.reason(command.reason()))
                .setCheckpointSequence(command.checkpoint())
                .setDetail(command.detail())
                .build();
    }

    private static TaskCommand decode(TaskProto.RecordEndCommand message) {
        return new TaskCommand.RecordTermination(
                message.getTimeUnixMillis(),
                message.getJobId(),
                message.getEpoch(),
                TaskCodec.reason(message.getReason()),
                message.getCheckpointSequence(),
                message.getDetail());
    }

    private static TaskProto.LoseWorkerCommand encodeLost(TaskCommand.MarkWorkerLost command) {
        return TaskProto.LoseWorkerCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setWorkerId(command.workerId())
                .setSession(command.session())
                .build();
    }

    private static TaskCommand decode(TaskProto.LoseWorkerCommand message) {
        return new TaskCommand.MarkWorkerLost(message.getTimeUnixMillis(), message.getWorkerId(), message.getSession());
    }

    private static TaskProto.ThrottleCommand encodeThrottle(TaskCommand.Throttle command) {
        return TaskProto.ThrottleCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setEpoch(command.epoch())
                .setThrottlePercent(command.speedPercent())
                .setRule(command.rule())
                .setFigures(command.details())
                .build();
    }

    private static TaskCommand decode(TaskProto.ThrottleCommand message) {
        return new TaskCommand.Throttle(
                message.getTimeUnixMillis(),
                message.getJobId(),
                message.getEpoch(),
                message.getThrottlePercent(),
                message.getRule(),
                message.getFigures());
    }

    private static TaskProto.ConfirmThrottleCommand encodeConfirmed(TaskCommand.ConfirmThrottle command) {
        return TaskProto.ConfirmThrottleCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setEpoch(command.epoch())
                .setThrottleVersion(command.throttleVersion())
                .build();
    }

    private static TaskCommand decode(TaskProto.ConfirmThrottleCommand message) {
        return new TaskCommand.ConfirmThrottle(
                message.getTimeUnixMillis(), message.getJobId(), message.getEpoch(), message.getThrottleVersion());
    }

    private static TaskProto.EvictCommand encodeEvict(TaskCommand.Evict command) {
        return TaskProto.EvictCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setEpoch(command.epoch())
                .setGraceMillis(command.graceMillis())
                .setRule(command.rule())
                .setFigures(command.details())
                .build();
    }

    private static TaskCommand decode(TaskProto.EvictCommand message) {
        return new TaskCommand.Evict(
                message.getTimeUnixMillis(),
                message.getJobId(),
                message.getEpoch(),
                message.getGraceMillis(),
                message.getRule(),
                message.getFigures());
    }

    private static TaskProto.ResizeCommand encodeResize(TaskCommand.Resize command) {
        return TaskProto.ResizeCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setEpoch(command.epoch())
                .setCommitment(TaskCodec.resources(command.allocation()))
                .setPowerMilliwatts(command.powerMilliwatts())
                .setRule(command.rule())
                .setFigures(command.details())
                .build();
    }

    private static TaskCommand decode(TaskProto.ResizeCommand message) {
        return new TaskCommand.Resize(
                message.getTimeUnixMillis(),
                message.getJobId(),
                message.getEpoch(),
                TaskCodec.resources(message.getCommitment()),
                message.getPowerMilliwatts(),
                message.getRule(),
                message.getFigures());
    }

    private static TaskProto.QuarantineCommand encodeQuarantine(TaskCommand.Quarantine command) {
        return TaskProto.QuarantineCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setWorkerId(command.workerId())
                .setUntilUnixMillis(command.untilMillis())
                .setRule(command.rule())
                .setFigures(command.details())
                .build();
    }

    private static TaskCommand decode(TaskProto.QuarantineCommand message) {
        return new TaskCommand.Quarantine(
                message.getTimeUnixMillis(),
                message.getWorkerId(),
                message.getUntilUnixMillis(),
                message.getRule(),
                message.getFigures());
    }

    private static TaskProto.MarkUnrunnableCommand encodeUnrunnable(TaskCommand.MarkUnrunnable command) {
        return TaskProto.MarkUnrunnableCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setReason(command.reason())
                .build();
    }

    private static TaskCommand decode(TaskProto.MarkUnrunnableCommand message) {
        return new TaskCommand.MarkUnrunnable(message.getTimeUnixMillis(), message.getJobId(), message.getReason());
    }

    private static TaskProto.ReviveCommand encodeRevive(TaskCommand.MarkRunnable command) {
        return TaskProto.ReviveCommand.newBuilder()
                .setTimeUnixMillis(command.timeMillis())
                .setJobId(command.jobId())
                .setReason(command.reason())
                .build();
    }

    private static TaskCommand decode(TaskProto.ReviveCommand message) {
        return new TaskCommand.MarkRunnable(message.getTimeUnixMillis(), message.getJobId(), message.getReason());
    }

    private static TaskProto.BatchCommand encodeBatch(TaskCommand.Batch command) {
        TaskProto.BatchCommand.Builder builder =
                TaskProto.BatchCommand.newBuilder().setTimeUnixMillis(command.timeMillis());
        command.commands().forEach(part -> builder.addCommands(encode(part)));
        return builder.build();
    }

    private static TaskCommand decode(TaskProto.BatchCommand message) {
        return new TaskCommand.Batch(
                message.getTimeUnixMillis(),
                message.getCommandsList().stream().map(TaskCommandCodec::decode).toList());
    }
}
