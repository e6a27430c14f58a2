package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.Map;
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
import org.nettlering.domain.queue.RequestLimits;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.CommandResult;
import org.nettlering.domain.workflow.EarlyCancellation;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.admission.JobAdmissionPolicy;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.EvacuationCodec;
import org.nettlering.wire.codec.HostReportCodec;
import org.nettlering.wire.codec.JobDefinitionCodec;
import org.nettlering.wire.codec.QueueCodec;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.WorkflowProto.HostLeaving;
import org.nettlering.wire.proto.WorkflowProto.HostReportMessage;
import org.nettlering.wire.proto.WorkflowProto.JobRequest;
import org.nettlering.wire.proto.WorkflowProto.QueueCommand;
import org.nettlering.wire.proto.WorkflowProto.QueueConfigurationMessage;
import org.nettlering.wire.proto.WorkflowProto.SubmitJobRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowAnswer;
import org.nettlering.wire.proto.WorkflowProto.WorkflowRequest;
import org.nettlering.wire.proto.WorkflowProto.WorkflowResponse;

/**
 * Handles requests about queues, jobs and hosts on the leader.
 *
 * <p>Only the leader maps requests to queues. Therefore a queue configuration applies to every request that follows its
 * acknowledgement, and all requests see the same configuration at any time. Responses that depend only on the state are
 * sent after the leadership was confirmed. Thread-safe.
 */
public final class WorkflowService implements FrameService {
    /**
     * How long the acknowledgement of a shutdown waits for the runs of the host: less than a caller waits for the whole
     * request.
     */
    private static final Duration EMPTYING_LIMIT = Duration.ofMillis(600);

    private static final EventLogger LOG = EventLogger.of(WorkflowService.class);

    private final CommandLog log;

    private final WorkflowStateMachine stateMachine;

    private final WorkflowLoop loop;

    private final TimeSource time;

    private final LeadershipConfirmations confirmations;

    private final UndecidedJobs undecidedJobs = new UndecidedJobs();

    /**
     * Creates a service.
     *
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param loop the leader's loop, not null
     * @param time the clock, not null
     * @return a new service, never null
     */
    public static WorkflowService of(
            CommandLog log, WorkflowStateMachine stateMachine, WorkflowLoop loop, TimeSource time) {
        return new WorkflowService(log, stateMachine, loop, time);
    }

    private WorkflowService(CommandLog log, WorkflowStateMachine stateMachine, WorkflowLoop loop, TimeSource time) {
        this.log = log;
        this.stateMachine = stateMachine;
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
            case SHOW -> confirmations.confirm().thenApply(confirmed -> show(request.getShow()));
            case CANCEL -> cancel(request.getCancel());
            case HOST_REPORT -> receiveHeartbeat(request.getHostReport());
            case HOST_LEAVING -> hostShuttingDown(request.getHostLeaving());
            case REPLACE_QUEUES -> replaceQueues(request.getReplaceQueues());
            case CHANGE_EVACUATION -> changeEvacuation(EvacuationCodec.decode(request.getChangeEvacuation()));
            case READ_EVACUATIONS ->
                readConfirmed((state, queues) -> evacuationsResponse(state, WorkflowAnswer.ANSWER_DONE));
            case READ_QUEUES -> readConfirmed((state, queues) -> queuesResponse(queues));
            // A leader check needs no confirmation round; it may succeed on a deposed leader for a short time.
            case CHECK -> CompletableFuture.completedFuture(leaderResponse());
            case REQUEST_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "workflow request is empty");
        };
    }

    private WorkflowResponse leaderResponse() {
        RequestLimits limits = stateMachine.read((state, queues) -> queues.limits());
        return WorkflowResponse.newBuilder()
                .setAnswer(WorkflowAnswer.ANSWER_DONE)
                .setLimits(QueueCodec.encode(limits))
                .build();
    }

    private CompletionStage<WorkflowResponse> readConfirmed(
            BiFunction<WorkflowState, QueueConfiguration, WorkflowResponse> reader) {
        return confirmations.confirm().thenApply(confirmed -> stateMachine.read(reader));
    }

    private CompletionStage<WorkflowResponse> submit(SubmitJobRequest request) {
        QueueConfiguration queues = stateMachine.read((state, current) -> current);
        Optional<QueueSettings> queue = queues.queueFor(request.getAuthority(), request.getPath());
        if (queue.isEmpty()) {
            return readConfirmed((state, current) -> noQueueResponse(current));
        }
        String jobId = jobId(queue.get(), request.getPath());
        if (jobId.isEmpty()) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "path contains no job id");
        }
        JobDefinition definition = JobDefinitionCodec.decode(request.getDefinition());
        JobAdmissionPolicy.requireAcceptableSize(definition);
        JobTerms terms =
                new JobTerms(queue.get().name(), queue.get().pool(), queue.get().terms());
        WorkflowCommand.SubmitJob submission = new WorkflowCommand.SubmitJob(jobId, terms, definition, time.millis());
        Optional<JobRejection> rejection =
                loop.decide((state, leadership) -> rejectionOf(state, leadership, submission));
        if (rejection.isPresent()) {
            return reject(submission, rejection.get());
        }
        return undecidedJobs.during(submission, () -> propose(submission)).thenCompose(commandResult -> {
            Optional<JobRejection> cancelled = stateMachine.read((state, current) -> cancelledBefore(state, jobId));
            if (cancelled.isPresent()) {
                return reject(submission, cancelled.get());
            }
            LOG.logWithFields(
                    WorkflowEvent.JOB_ACCEPTED,
                    AcceptedJobDetails.of(submission).toFields(),
                    jobId,
                    terms.queue(),
                    queues.version(),
                    definition.steps().size());
            loop.requestPlanAndRun();
            return CompletableFuture.completedFuture(responseOf(WorkflowAnswer.ANSWER_DONE));
        });
    }

    private Optional<JobRejection> rejectionOf(
            WorkflowState state, WorkflowLeadership leadership, WorkflowCommand.SubmitJob submission) {
        String jobId = submission.jobId();
        if (state.job(jobId).isPresent()) {
            return cancelledBefore(state, jobId);
        }
        if (undecidedJobs.contains(jobId)) {
            return Optional.empty();
        }
        UndecidedDemand undecided = undecidedJobs.demand(submission.terms().pool(), state);
        return leadership.rejectionOf(state, submission, undecided, time.nanoTime());
    }

    /** Returns why a job is rejected that was cancelled before its submission arrived, or empty. Its id is kept for a while. */
    private static Optional<JobRejection> cancelledBefore(WorkflowState state, String jobId) {
        boolean unsubmitted =
                state.job(jobId).isPresent() && state.submittedJob(jobId).isEmpty();
        return unsubmitted
                ? Optional.of(new JobRejection(JobRejection.Reason.CANCELLED_BEFORE, FinishedJobRetention.RETENTION))
                : Optional.empty();
    }

    private CompletionStage<WorkflowResponse> reject(WorkflowCommand.SubmitJob submission, JobRejection rejection) {
        Duration retryAfter = rejection.retryAfter();
        LOG.logWithFields(
                WorkflowEvent.JOB_REJECTED,
                Map.of("reason", rejection.reason()),
                submission.jobId(),
                submission.terms().queue(),
                retryAfter.toMillis());
        return readConfirmed((state, current) -> rejectedResponse(retryAfter));
    }

    private WorkflowResponse show(JobRequest request) {
        QueueConfiguration queues = stateMachine.read((state, current) -> current);
        Optional<QueueSettings> queue = queues.queueFor(request.getAuthority(), request.getPath());
        if (queue.isEmpty()) {
            return noQueueResponse(queues);
        }
        String jobId = jobId(queue.get(), request.getPath());
        String queueName = queue.get().name();
        return loop.decide((state, leadership) -> jobId.isEmpty()
                ? showQueue(queueName, state, leadership.beginnings())
                : showJob(jobId, state, leadership.beginnings()));
    }

    private static WorkflowResponse showQueue(String queueName, WorkflowState state, JobBeginnings beginnings) {
        return WorkflowResponse.newBuilder()
                .setAnswer(WorkflowAnswer.ANSWER_DONE)
                .setPendingJobs(beginnings.pending(state, queueName))
                .build();
    }

    private static WorkflowResponse showJob(String jobId, WorkflowState state, JobBeginnings beginnings) {
        return state.submittedJob(jobId)
                .map(job -> WorkflowResponse.newBuilder()
                        .setAnswer(WorkflowAnswer.ANSWER_DONE)
                        .setPhase(JobDefinitionCodec.encode(beginnings.phase(job)))
                        .build())
                .orElseGet(() -> responseOf(WorkflowAnswer.ANSWER_NO_JOB));
    }

    private CompletionStage<WorkflowResponse> cancel(JobRequest request) {
        QueueConfiguration queues = stateMachine.read((state, current) -> current);
        Optional<QueueSettings> queue = queues.queueFor(request.getAuthority(), request.getPath());
        if (queue.isEmpty()) {
            return readConfirmed((state, current) -> noQueueResponse(current));
        }
        String jobId = jobId(queue.get(), request.getPath());
        WorkflowCommand command =
                stateMachine.read((state, current) -> EarlyCancellation.cancel(state, jobId, time.millis()));
        return propose(command).thenApply(commandResult -> {
            boolean known = stateMachine.read(
                    (state, current) -> state.submittedJob(jobId).isPresent());
            LOG.log(WorkflowEvent.JOB_CANCELLED, jobId, known ? commandResult : CommandResult.UNKNOWN_JOB);
            stopRuns(jobId);
            return responseOf(known ? WorkflowAnswer.ANSWER_DONE : WorkflowAnswer.ANSWER_NO_JOB);
        });
    }

    /** Stops the runs of a cancelled job. Fails never, as the cancellation is committed; the next leader stops them else. */
    private void stopRuns(String jobId) {
        try {
            loop.updateWithState((state, leadership) -> state.job(jobId).ifPresent(leadership::stopRuns));
        } catch (NettleringException exception) {
            if (exception.code() != ErrorCode.NOT_LEADER) {
                throw exception;
            }
        }
    }

    private CompletionStage<WorkflowResponse> receiveHeartbeat(HostReportMessage message) {
        HostHeartbeat heartbeat = HostReportCodec.decode(message);
        boolean firstHeartbeat = loop.update(leadership -> leadership.receiveHeartbeat(heartbeat, time.nanoTime()));
        if (firstHeartbeat) {
            LOG.log(
                    WorkflowEvent.HOST_JOINED,
                    heartbeat.host().id(),
                    heartbeat.host().address(),
                    log.term(),
                    heartbeat.pool(),
                    heartbeat.rack(),
                    heartbeat.capacity());
        }
        if (!heartbeat.draining()) {
            return CompletableFuture.completedFuture(responseOf(WorkflowAnswer.ANSWER_DONE));
        }
        return readConfirmed((state, queues) -> responseOf(WorkflowAnswer.ANSWER_DONE));
    }

    /**
     * Acknowledges the notice once the runs of the host are over, as the host ends with the acknowledgement. One that does not
     * report them in time is acknowledged all the same; then their tasks wait for its lease.
     */
    private CompletionStage<WorkflowResponse> hostShuttingDown(HostLeaving notice) {
        String hostId = notice.getHostId();
        LOG.log(WorkflowEvent.HOST_SHUTTING_DOWN, hostId);
        CompletableFuture<Boolean> emptied = new CompletableFuture<>();
        // By a timer, so that nothing that waits for the host runs under the lock of the state machine.
        Runnable notify = () -> time.schedule(Duration.ZERO, () -> emptied.complete(true));
        loop.update(leadership -> {
            leadership.hostShuttingDown(hostId, notice.getStartMillis(), notify, time.nanoTime());
            return hostId;
        });
        TimeSource.Timer limit = time.schedule(EMPTYING_LIMIT, () -> emptied.complete(false));
        return emptied.thenCompose(inTime -> {
            limit.cancel();
            if (!inTime) {
                LOG.log(WorkflowEvent.HOST_NOT_EMPTIED, hostId, EMPTYING_LIMIT.toMillis());
            }
            return readConfirmed((state, queues) -> responseOf(WorkflowAnswer.ANSWER_DONE));
        });
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
            return responseOf(WorkflowAnswer.ANSWER_DONE);
        });
    }

    private CompletionStage<WorkflowResponse> changeEvacuation(ChangeEvacuation change) {
        Evacuations.requireValidName(change.failureDomain());
        boolean hasRoom =
                stateMachine.read((state, queues) -> state.evacuations().hasRoom());
        if (change.evacuated() && !hasRoom) {
            throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "too many failure domains are evacuated");
        }
        return propose(change).thenApply(result -> {
            LOG.log(
                    WorkflowEvent.EVACUATION_CHANGED,
                    change.failureDomain(),
                    change.evacuated() ? "started" : "finished",
                    result);
            loop.requestPlanAndRun();
            WorkflowAnswer answer = result == CommandResult.VERSION_CONFLICT
                    ? WorkflowAnswer.ANSWER_CONFLICT
                    : WorkflowAnswer.ANSWER_DONE;
            return stateMachine.read((state, queues) -> evacuationsResponse(state, answer));
        });
    }

    private static WorkflowResponse evacuationsResponse(WorkflowState state, WorkflowAnswer answer) {
        return WorkflowResponse.newBuilder()
                .setAnswer(answer)
                .setEvacuations(EvacuationCodec.encode(state.evacuations()))
                .build();
    }

    private static WorkflowResponse queuesResponse(QueueConfiguration queues) {
        if (!queues.isPresent()) {
            return responseOf(WorkflowAnswer.ANSWER_NO_CONFIGURATION);
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

    private static WorkflowResponse noQueueResponse(QueueConfiguration queues) {
        return responseOf(queues.isPresent() ? WorkflowAnswer.ANSWER_NO_QUEUE : WorkflowAnswer.ANSWER_NO_CONFIGURATION);
    }

    private static WorkflowResponse rejectedResponse(Duration retryAfter) {
        return WorkflowResponse.newBuilder()
                .setAnswer(WorkflowAnswer.ANSWER_REJECTED)
                .setRetryAfterMillis((int) retryAfter.toMillis())
                .build();
    }

    private static WorkflowResponse responseOf(WorkflowAnswer answer) {
        return WorkflowResponse.newBuilder().setAnswer(answer).build();
    }
}
