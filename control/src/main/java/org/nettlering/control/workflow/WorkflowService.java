package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BiFunction;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.log.FrameService;
import org.nettlering.control.log.LeadershipConfirmations;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.queue.QueueConfiguration;
import org.nettlering.domain.queue.QueueSettings;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.CommandResult;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.HostReportCodec;
import org.nettlering.wire.codec.JobDefinitionCodec;
import org.nettlering.wire.codec.QueueCodec;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.WorkflowProto.HostReportMessage;
import org.nettlering.wire.proto.WorkflowProto.JobRequest;
import org.nettlering.wire.proto.WorkflowProto.QueueCommand;
import org.nettlering.wire.proto.WorkflowProto.QueueConfigurationMessage;
import org.nettlering.wire.proto.WorkflowProto.SubmitJobRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowAnswer;
import org.nettlering.wire.proto.WorkflowProto.WorkflowRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;

/**
 * Answers requests about queues, jobs of steps and hosts on the leader.
 *
 * <p>The leader alone decides which queue a request is for, so that a configuration is in force for every request from
 * its acknowledgement on, and at no time in one place but not in another. Whatever depends on the state alone is answered
 * after the leadership was confirmed. Thread-safe.
 */
public final class WorkflowService implements FrameService {
    private static final EventLogger LOG = EventLogger.of(WorkflowService.class);

    /** The replicated log. */
    private final CommandLog log;

    /** The replicated queues and jobs. */
    private final WorkflowPart part;

    /** The leader's loop. */
    private final WorkflowLoop loop;

    /** The clock. */
    private final TimeSource time;

    /** Confirms the leadership before the state is read. */
    private final LeadershipConfirmations confirmations;

    /**
     * Creates a service.
     *
     * @param log the replicated log, not null
     * @param part the replicated queues and jobs, not null
     * @param loop the leader's loop, not null
     * @param time the clock, not null
     * @return a new service, never null
     */
    public static WorkflowService of(CommandLog log, WorkflowPart part, WorkflowLoop loop, TimeSource time) {
        return new WorkflowService(log, part, loop, time);
    }

    private WorkflowService(CommandLog log, WorkflowPart part, WorkflowLoop loop, TimeSource time) {
        this.log = log;
        this.part = part;
        this.loop = loop;
        this.time = time;
        confirmations = LeadershipConfirmations.of(log);
    }

    @Override
    public CompletionStage<Frame> handle(Frame request) {
        if (!log.isReadyLeader()) {
            String leader = log.leaderId().orElse("");
            return CompletableFuture.failedFuture(
                    new NettleringException(ErrorCode.NOT_LEADER, "the leader is \"" + leader + "\""));
        }
        try {
            return dispatch(request.getWorkflowRequest())
                    .thenApply(response ->
                            Frame.newBuilder().setWorkflowResponse(response).build());
        } catch (NettleringException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private CompletionStage<WorkflowResponse> dispatch(WorkflowRequest request) {
        return switch (request.getRequestCase()) {
            case SUBMIT -> submit(request.getSubmit());
            case SHOW -> read((state, queues) -> show(request.getShow(), state, queues));
            case CANCEL -> cancel(request.getCancel());
            case HOST_REPORT -> hostReported(request.getHostReport());
            case HOST_LEAVING -> hostLeaves(request.getHostLeaving().getHostId());
            case REPLACE_QUEUES -> replaceQueues(request.getReplaceQueues());
            case READ_QUEUES -> read((state, queues) -> describe(queues));
            // Whoever only wants to know whether there is a leader needs no round of messages for it.
            case CHECK -> CompletableFuture.completedFuture(answer(WorkflowAnswer.ANSWER_DONE));
            case REQUEST_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the request about jobs is empty");
        };
    }

    private CompletionStage<WorkflowResponse> read(
            BiFunction<WorkflowState, QueueConfiguration, WorkflowResponse> reader) {
        return confirmations.confirm().thenApply(confirmed -> part.read(reader));
    }

    private CompletionStage<WorkflowResponse> submit(SubmitJobRequest request) {
        QueueConfiguration queues = part.read((state, current) -> current);
        Optional<QueueSettings> queue = queues.queueFor(request.getAuthority(), request.getPath());
        if (queue.isEmpty()) {
            return read((state, current) -> noQueue(current));
        }
        String jobId = jobId(queue.get(), request.getPath());
        if (jobId.isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "the path names no job");
        }
        JobDefinition definition = JobDefinitionCodec.decode(request.getDefinition());
        JobTerms terms =
                new JobTerms(queue.get().name(), queue.get().pool(), queue.get().terms());
        Optional<Duration> rejection = loop.decide((state, leadership) ->
                state.job(jobId).isPresent() ? Optional.empty() : leadership.rejection(state, terms, definition));
        if (rejection.isPresent()) {
            LOG.log(
                    WorkflowEvent.JOB_REJECTED,
                    jobId,
                    terms.queue(),
                    rejection.get().toMillis());
            return read((state, current) -> rejected(rejection.get()));
        }
        return propose(new WorkflowCommand.SubmitJob(jobId, terms, definition, time.millis()))
                .thenApply(outcome -> {
                    LOG.log(
                            WorkflowEvent.JOB_ACCEPTED,
                            jobId,
                            terms.queue(),
                            queues.version(),
                            definition.steps().size());
                    loop.runWithPlan();
                    return answer(WorkflowAnswer.ANSWER_DONE);
                });
    }

    private static WorkflowResponse show(JobRequest request, WorkflowState state, QueueConfiguration queues) {
        Optional<QueueSettings> queue = queues.queueFor(request.getAuthority(), request.getPath());
        if (queue.isEmpty()) {
            return noQueue(queues);
        }
        String jobId = jobId(queue.get(), request.getPath());
        if (jobId.isEmpty()) {
            return WorkflowResponse.newBuilder()
                    .setAnswer(WorkflowAnswer.ANSWER_DONE)
                    .setPendingJobs(state.queuedJobs(queue.get().name()))
                    .build();
        }
        return state.job(jobId)
                .map(job -> WorkflowResponse.newBuilder()
                        .setAnswer(WorkflowAnswer.ANSWER_DONE)
                        .setPhase(JobDefinitionCodec.encode(job.phase()))
                        .build())
                .orElseGet(() -> answer(WorkflowAnswer.ANSWER_NO_JOB));
    }

    private CompletionStage<WorkflowResponse> cancel(JobRequest request) {
        QueueConfiguration queues = part.read((state, current) -> current);
        Optional<QueueSettings> queue = queues.queueFor(request.getAuthority(), request.getPath());
        if (queue.isEmpty()) {
            return read((state, current) -> noQueue(current));
        }
        String jobId = jobId(queue.get(), request.getPath());
        return propose(new WorkflowCommand.CancelJob(jobId)).thenApply(outcome -> {
            LOG.log(WorkflowEvent.JOB_CANCELLED, jobId, outcome);
            stopRunsOf(jobId);
            return answer(
                    outcome == CommandResult.UNKNOWN_JOB ? WorkflowAnswer.ANSWER_NO_JOB : WorkflowAnswer.ANSWER_DONE);
        });
    }

    private void stopRunsOf(String jobId) {
        if (!log.isReadyLeader()) {
            return;
        }
        loop.changeWithState((state, leadership) -> state.job(jobId).ifPresent(leadership::stopRunsOf));
    }

    private CompletionStage<WorkflowResponse> hostReported(HostReportMessage message) {
        HostHeartbeat report = HostReportCodec.decode(message);
        boolean first = loop.change(leadership -> leadership.receive(report, time.nanoTime()));
        if (first) {
            LOG.log(
                    WorkflowEvent.HOST_SEEN,
                    report.host().id(),
                    report.host().address(),
                    log.term(),
                    report.pool(),
                    report.rack(),
                    report.capacity());
        }
        if (!report.draining()) {
            return CompletableFuture.completedFuture(answer(WorkflowAnswer.ANSWER_DONE));
        }
        return read((state, queues) -> answer(WorkflowAnswer.ANSWER_DONE));
    }

    private CompletionStage<WorkflowResponse> hostLeaves(String hostId) {
        LOG.log(WorkflowEvent.HOST_LEAVING, hostId);
        loop.change(leadership -> {
            leadership.leave(hostId, time.nanoTime());
            return hostId;
        });
        return read((state, queues) -> answer(WorkflowAnswer.ANSWER_DONE));
    }

    private CompletionStage<WorkflowResponse> replaceQueues(QueueConfigurationMessage message) {
        QueueConfiguration replacement = QueueCodec.decode(message);
        SiteCommand command = SiteCommand.newBuilder()
                .setQueues(QueueCommand.newBuilder().setReplace(message))
                .build();
        return log.propose(command).thenApply(result -> {
            LOG.log(
                    WorkflowEvent.QUEUES_REPLACED,
                    replacement.version(),
                    result.getQueues().getVersionInForce());
            return answer(WorkflowAnswer.ANSWER_DONE);
        });
    }

    private static WorkflowResponse describe(QueueConfiguration queues) {
        if (!queues.isPresent()) {
            return answer(WorkflowAnswer.ANSWER_NO_CONFIGURATION);
        }
        return WorkflowResponse.newBuilder()
                .setAnswer(WorkflowAnswer.ANSWER_DONE)
                .setQueues(QueueCodec.encode(queues))
                .build();
    }

    private CompletionStage<CommandResult> propose(WorkflowCommand command) {
        SiteCommand encoded = SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(command))
                .build();
        return log.propose(encoded).thenApply(result -> WorkflowCommandCodec.decode(result.getWorkflow()));
    }

    private static String jobId(QueueSettings queue, String path) {
        return path.substring(queue.pathPrefix().length());
    }

    private static WorkflowResponse noQueue(QueueConfiguration queues) {
        return answer(queues.isPresent() ? WorkflowAnswer.ANSWER_NO_QUEUE : WorkflowAnswer.ANSWER_NO_CONFIGURATION);
    }

    private static WorkflowResponse rejected(Duration retryAfter) {
        return WorkflowResponse.newBuilder()
                .setAnswer(WorkflowAnswer.ANSWER_REJECTED)
                .setRetryAfterMillis((int) retryAfter.toMillis())
                .build();
    }

    private static WorkflowResponse answer(WorkflowAnswer answer) {
        return WorkflowResponse.newBuilder().setAnswer(answer).build();
    }
}
