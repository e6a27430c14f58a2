package org.nettlering.wire.codec;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.CommandResult;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.Batch;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.domain.workflow.WorkflowCommand.RaiseFence;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;
import org.nettlering.domain.workflow.WorkflowCommand.StartOccurrence;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.wire.proto.WorkflowProto.ActiveRunMessage;
import org.nettlering.wire.proto.WorkflowProto.BeginOccurrence;
import org.nettlering.wire.proto.WorkflowProto.CancelWorkflow;
import org.nettlering.wire.proto.WorkflowProto.EndRun;
import org.nettlering.wire.proto.WorkflowProto.ForgetWorkflow;
import org.nettlering.wire.proto.WorkflowProto.HostCrashMessage;
import org.nettlering.wire.proto.WorkflowProto.RunEndMessage;
import org.nettlering.wire.proto.WorkflowProto.RunMessage;
import org.nettlering.wire.proto.WorkflowProto.SubmitWorkflow;
import org.nettlering.wire.proto.WorkflowProto.WorkflowBatch;
import org.nettlering.wire.proto.WorkflowProto.WorkflowCommandMessage;
import org.nettlering.wire.proto.WorkflowProto.WorkflowOutcomeMessage;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResult;

/** Encodes and decodes the changes of jobs that the log carries. */
public final class WorkflowCommandCodec {
    private WorkflowCommandCodec() {}

    /**
     * Encodes a command.
     *
     * @param command the command, not null
     * @return the message, never null
     */
    public static WorkflowCommandMessage encode(WorkflowCommand command) {
        WorkflowCommandMessage.Builder message = WorkflowCommandMessage.newBuilder();
        switch (command) {
            case SubmitJob submit -> message.setSubmit(encodeSubmit(submit));
            case CancelJob cancel ->
                message.setCancel(CancelWorkflow.newBuilder().setJobId(cancel.jobId()));
            case StartOccurrence begin ->
                message.setBegin(
                        BeginOccurrence.newBuilder().setJobId(begin.jobId()).setOccurrence(begin.occurrence()));
            case StartRun start -> message.setStart(encode(start.run()));
            case RecordTermination end -> message.setEnd(encodeEnd(end));
            case RemoveJob forget ->
                message.setForget(ForgetWorkflow.newBuilder().setJobId(forget.jobId()));
            case ChangeEvacuation change -> message.setEvacuation(EvacuationCodec.encode(change));
            case RaiseFence raise -> message.setBatch(encodeBatch(new Batch(List.of(raise))));
            case Batch batch -> message.setBatch(encodeBatch(batch));
        }
        return message.build();
    }

    /**
     * Decodes a command.
     *
     * @param message the message, not null
     * @return the command, never null
     * @throws NettleringException with {@code STORAGE_TOO_NEW} if this program does not know the command
     */
    public static WorkflowCommand decode(WorkflowCommandMessage message) {
        return switch (message.getCommandCase()) {
            case SUBMIT -> decodeSubmit(message.getSubmit());
            case CANCEL -> new CancelJob(message.getCancel().getJobId());
            case BEGIN ->
                new StartOccurrence(
                        message.getBegin().getJobId(), message.getBegin().getOccurrence());
            case START -> new StartRun(decode(message.getStart()));
            case END -> decodeEnd(message.getEnd());
            case FORGET -> new RemoveJob(message.getForget().getJobId());
            case BATCH -> decodeBatch(message.getBatch());
            case EVACUATION -> EvacuationCodec.decode(message.getEvacuation());
            case COMMAND_NOT_SET ->
                throw new NettleringException(ErrorCode.STORAGE_TOO_NEW, "a change of jobs is of an unknown kind");
        };
    }

    private static SubmitWorkflow encodeSubmit(SubmitJob submit) {
        return SubmitWorkflow.newBuilder()
                .setJobId(submit.jobId())
                .setTerms(JobDefinitionCodec.encode(submit.terms()))
                .setDefinition(JobDefinitionCodec.encode(submit.definition()))
                .setAcceptedMillis(submit.acceptedMillis())
                .build();
    }

    private static SubmitJob decodeSubmit(SubmitWorkflow message) {
        return new SubmitJob(
                message.getJobId(),
                JobDefinitionCodec.decode(message.getTerms()),
                JobDefinitionCodec.decode(message.getDefinition()),
                message.getAcceptedMillis());
    }

    private static WorkflowBatch encodeBatch(Batch batch) {
        WorkflowBatch.Builder message = WorkflowBatch.newBuilder();
        for (WorkflowCommand each : batch.commands()) {
            if (each instanceof RaiseFence) {
                message.setFenceRaises(message.getFenceRaises() + 1);
            } else {
                message.addCommands(encode(each));
            }
        }
        return message.build();
    }

    private static Batch decodeBatch(WorkflowBatch message) {
        List<WorkflowCommand> commands = new ArrayList<>();
        message.getCommandsList().forEach(each -> commands.add(decode(each)));
        commands.addAll(Collections.nCopies(message.getFenceRaises(), new RaiseFence()));
        return new Batch(commands);
    }

    private static EndRun encodeEnd(RecordTermination end) {
        return EndRun.newBuilder()
                .setRun(encode(end.run()))
                .setHow(encode(end.status()))
                .setHostCrash(encodeHostCrash(end.status()))
                .setCheckpoint(end.checkpoint())
                .build();
    }

    private static RecordTermination decodeEnd(EndRun message) {
        TerminalStatus status = decode(message.getHow(), message.getHostCrash());
        return new RecordTermination(decode(message.getRun()), status, message.getCheckpoint());
    }

    static ActiveRunMessage encode(ActiveRun run) {
        return ActiveRunMessage.newBuilder()
                .setRun(encode(run.run()))
                .setHostId(run.host().id())
                .setHostAddress(run.host().address())
                .setCheckpoint(run.checkpoint())
                .setHostStartMillis(run.hostStartMillis())
                .build();
    }

    static ActiveRun decode(ActiveRunMessage message) {
        return new ActiveRun(
                decode(message.getRun()),
                new HostIncarnation(message.getHostId(), message.getHostAddress()),
                message.getCheckpoint(),
                message.getHostStartMillis());
    }

    private static RunMessage encode(RunId run) {
        TaskId task = run.task();
        return RunMessage.newBuilder()
                .setJobId(task.jobId())
                .setOccurrence(task.step().occurrence())
                .setStep(task.step().number())
                .setIndex(task.index())
                .setNumber(run.number())
                .build();
    }

    private static RunId decode(RunMessage message) {
        TaskId task = TaskId.of(message.getJobId(), message.getOccurrence(), message.getStep(), message.getIndex());
        return new RunId(task, message.getNumber());
    }

    private static RunEndMessage encode(TerminalStatus how) {
        return switch (how) {
            case DONE -> RunEndMessage.RUN_DONE;
            case FAILED -> RunEndMessage.RUN_FAILED;
            case STOPPED -> RunEndMessage.RUN_STOPPED;
            case LAPSED -> RunEndMessage.RUN_LAPSED;
            case BROKEN -> RunEndMessage.RUN_BROKEN;
            case ALONE -> RunEndMessage.RUN_ALONE;
            case NOT_BEGUN -> RunEndMessage.RUN_NOT_BEGUN;
            case HOST_LOST, CRASHED_HOST, CRASH_SUSPECT, CRASH_UNCONFIRMED -> RunEndMessage.RUN_HOST_LOST;
        };
    }

    private static HostCrashMessage encodeHostCrash(TerminalStatus status) {
        return switch (status) {
            case CRASHED_HOST -> HostCrashMessage.HOST_CRASH_CAUSE;
            case CRASH_SUSPECT -> HostCrashMessage.HOST_CRASH_SUSPECT;
            case CRASH_UNCONFIRMED -> HostCrashMessage.HOST_CRASH_UNCONFIRMED;
            default -> HostCrashMessage.HOST_CRASH_UNSPECIFIED;
        };
    }

    private static TerminalStatus decode(RunEndMessage message, HostCrashMessage hostCrash) {
        return switch (message) {
            case RUN_DONE -> TerminalStatus.DONE;
            case RUN_FAILED -> TerminalStatus.FAILED;
            case RUN_STOPPED -> TerminalStatus.STOPPED;
            case RUN_LAPSED -> TerminalStatus.LAPSED;
            case RUN_BROKEN -> TerminalStatus.BROKEN;
            case RUN_ALONE -> TerminalStatus.ALONE;
            case RUN_NOT_BEGUN -> TerminalStatus.NOT_BEGUN;
            case RUN_HOST_LOST -> decode(hostCrash);
            case RUN_END_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(ErrorCode.STORAGE_TOO_NEW, "a run ended in an unknown way");
        };
    }

    private static TerminalStatus decode(HostCrashMessage message) {
        return switch (message) {
            case HOST_CRASH_CAUSE -> TerminalStatus.CRASHED_HOST;
            case HOST_CRASH_SUSPECT -> TerminalStatus.CRASH_SUSPECT;
            case HOST_CRASH_UNCONFIRMED -> TerminalStatus.CRASH_UNCONFIRMED;
            case HOST_CRASH_UNSPECIFIED, UNRECOGNIZED -> TerminalStatus.HOST_LOST;
        };
    }

    /**
     * Encodes what a command did.
     *
     * @param outcome the outcome, not null
     * @return the message, never null
     */
    public static WorkflowResult encode(CommandResult outcome) {
        WorkflowOutcomeMessage message = switch (outcome) {
            case APPLIED -> WorkflowOutcomeMessage.WORKFLOW_APPLIED;
            case UNCHANGED -> WorkflowOutcomeMessage.WORKFLOW_UNCHANGED;
            case UNKNOWN_JOB -> WorkflowOutcomeMessage.WORKFLOW_UNKNOWN_JOB;
            case VERSION_CONFLICT -> WorkflowOutcomeMessage.WORKFLOW_VERSION_CONFLICT;
        };
        return WorkflowResult.newBuilder().setOutcome(message).build();
    }

    /**
     * Decodes what a command did.
     *
     * @param result the message, not null
     * @return the outcome, never null
     * @throws NettleringException with {@code INTERNAL} if the message is unknown
     */
    public static CommandResult decode(WorkflowResult result) {
        return switch (result.getOutcome()) {
            case WORKFLOW_APPLIED -> CommandResult.APPLIED;
            case WORKFLOW_UNCHANGED -> CommandResult.UNCHANGED;
            case WORKFLOW_UNKNOWN_JOB -> CommandResult.UNKNOWN_JOB;
            case WORKFLOW_VERSION_CONFLICT -> CommandResult.VERSION_CONFLICT;
            case WORKFLOW_OUTCOME_UNSPECIFIED, UNRECOGNIZED ->
                throw new NettleringException(ErrorCode.INTERNAL, "a change of jobs had an unknown outcome");
        };
    }
}
