package org.nettlering.control.task;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.nettlering.control.log.CommandLog;
import org.nettlering.control.log.FrameService;
import org.nettlering.control.log.LeadershipConfirmations;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.placement.Planner;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.worker.SessionLeases;
import org.nettlering.domain.worker.WorkerCommand;
import org.nettlering.domain.worker.WorkerReport;
import org.nettlering.domain.worker.WorkerReportReconciler;
import org.nettlering.wire.codec.TaskCodec;
import org.nettlering.wire.codec.TaskCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;
import org.nettlering.wire.proto.FrameProto.Frame;
import org.nettlering.wire.proto.TaskProto;
import org.nettlering.wire.proto.TaskProto.TaskRequest;
import org.nettlering.wire.proto.TaskProto.TaskResponse;

/**
 * Answers task requests on the leader, and runs the scheduling loop while this member leads.
 *
 * <p>Thread-safe. Reports are answered only after the leadership was confirmed, so that a leader that was replaced without
 * knowing it renews no lease.
 */
public final class TaskService implements FrameService, AutoCloseable {
    /** How often the loop looks for something to do. */
    private static final Duration TICK = Duration.ofMillis(100);

    /** How often a worker reports. */
    private static final Duration REPORT_INTERVAL = Duration.ofSeconds(1);

    /** How soon a worker reports again that has no lease, or was told to do something. */
    private static final Duration EARLY_REPORT_INTERVAL = Duration.ofMillis(200);

    /** The replicated log. */
    private final CommandLog log;

    /** The replicated state, whose lock also guards {@link #leadership}. */
    private final TaskPart part;

    /** Clocks and timers. */
    private final TimeSource time;

    /** The configuration in force. */
    private final Supplier<SiteConfiguration> configuration;

    /** Makes a planner for each leadership. */
    private final Supplier<Planner> planners;

    /** Hears what is done. */
    private final TaskListener listener;

    /** Confirms the leadership before a lease is renewed. */
    private final LeadershipConfirmations confirmations;

    /** Trace contexts of recent submissions. */
    private final SubmissionTraces traces = new SubmissionTraces();

    /** What is known while this member leads. */
    private @Nullable Leadership leadership;

    /** The next run of the loop. */
    private volatile TimeSource.@Nullable Timer timer;

    /** Whether the service was closed. */
    private volatile boolean closed;

    /**
     * Creates a service and starts its loop.
     *
     * @param log the replicated log, not null
     * @param part the replicated jobs and workers, not null
     * @param time clocks and timers, not null
     * @param configuration returns the site's configuration in force, not null
     * @param planners makes a planner for each leadership, not null
     * @param listener hears what is done, not null
     * @return a running service, never null
     */
    public static TaskService start(
            CommandLog log,
            TaskPart part,
            TimeSource time,
            Supplier<SiteConfiguration> configuration,
            Supplier<Planner> planners,
            TaskListener listener) {
        TaskService service = new TaskService(log, part, time, configuration, planners, listener);
        service.scheduleTick();
        return service;
    }

    private TaskService(
            CommandLog log,
            TaskPart part,
            TimeSource time,
            Supplier<SiteConfiguration> configuration,
            Supplier<Planner> planners,
            TaskListener listener) {
        this.log = log;
        this.part = part;
        this.time = time;
        this.configuration = configuration;
        this.planners = planners;
        this.listener = listener;
        this.confirmations = LeadershipConfirmations.of(log);
    }

    @Override
    public CompletionStage<Frame> handle(Frame request) {
        if (!log.isReadyLeader()) {
            return CompletableFuture.failedFuture(notLeader());
        }
        try {
            TaskRequest task = request.getTaskRequest();
            return dispatch(task, request.getTraceparent())
                    .thenApply(response ->
                            Frame.newBuilder().setTaskResponse(response).build());
        } catch (NettleringException exception) {
            return CompletableFuture.failedFuture(exception);
        }
    }

    private CompletionStage<TaskResponse> dispatch(TaskRequest request, String traceparent) {
        return switch (request.getRequestCase()) {
            case REPORT -> report(request.getReport());
            case SUBMIT -> submit(request.getSubmit(), traceparent);
            case CANCEL -> cancel(request.getCancel());
            case SHOW -> read(state -> showJob(state, request.getShow().getJobId()));
            case LIST -> read(TaskResponses::jobs);
            case SHOW_WORKER ->
                read(state -> showWorker(state, request.getShowWorker().getWorkerId()));
            case SHOW_POWER -> read(state -> TaskResponses.power(state, configuration.get(), time.millis()));
            case REQUEST_NOT_SET ->
                throw new NettleringException(ErrorCode.INVALID_ARGUMENT, "task request is missing");
        };
    }

    private CompletionStage<TaskResponse> report(TaskProto.WorkerReport message) {
        WorkerReport report = TaskCodec.report(message);
        long receivedNanos = time.nanoTime();
        boolean renewed = part.read(state -> leadership().receive(state, report, receivedNanos, time.millis()));
        propose(false);
        return confirmations.confirm().thenApply(confirmed -> part.read(state -> answer(state, report, renewed)));
    }

    private TaskResponse answer(TaskState state, WorkerReport report, boolean renewed) {
        TaskProto.WorkerReportResponse.Builder response = TaskProto.WorkerReportResponse.newBuilder()
                .setLeaseMillis(renewed ? (int) SessionLeases.LEASE_DURATION.toMillis() : 0);
        if (renewed) {
            for (WorkerCommand command : WorkerReportReconciler.commandsForWorker(state, report, time.millis())) {
                response.addCommands(TaskCodec.workerCommand(command, traces.of(command)));
            }
        }
        boolean isSettled = renewed && response.getCommandsCount() == 0;
        response.setReportIntervalMillis((int) (isSettled ? REPORT_INTERVAL : EARLY_REPORT_INTERVAL).toMillis());
        return TaskResponse.newBuilder().setReport(response).build();
    }

    private CompletionStage<TaskResponse> submit(TaskProto.SubmitJob message, String traceparent) {
        TaskCommand.Submit command =
                new TaskCommand.Submit(time.millis(), message.getOperationId(), TaskCodec.job(message.getJob()));
        traces.put(command.job().jobId(), traceparent);
        return proposeAlone(command)
                .thenApply(
                        done -> part.read(state -> showJob(state, command.job().jobId())));
    }

    private CompletionStage<TaskResponse> cancel(TaskProto.CancelJob message) {
        TaskCommand.Cancel command =
                new TaskCommand.Cancel(time.millis(), message.getOperationId(), message.getJobId());
        return proposeAlone(command).thenApply(done -> part.read(state -> showJob(state, command.jobId())));
    }

    private CompletionStage<TaskResponse> read(Function<TaskState, TaskResponse> reader) {
        return confirmations.confirm().thenApply(confirmed -> part.read(reader));
    }

    private static TaskResponse showJob(TaskState state, String jobId) {
        return state.task(jobId)
                .map(TaskResponses::job)
                .orElseThrow(() -> new NettleringException(
                        ErrorCode.NOT_FOUND, "job \"" + jobId + "\" is not known or ended long ago"));
    }

    private TaskResponse showWorker(TaskState state, String workerId) {
        return state.worker(workerId)
                .map(worker -> TaskResponses.worker(worker, time.millis()))
                .orElseThrow(() -> new NettleringException(
                        ErrorCode.NOT_FOUND, "worker \"" + workerId + "\" has never registered"));
    }

    private CompletionStage<SiteResult> proposeAlone(TaskCommand command) {
        return log.propose(encode(command)).thenApply(result -> {
            String code = result.getTask().getErrorCode();
            if (!code.isEmpty()) {
                throw new NettleringException(
                        TaskResponses.errorCode(code), result.getTask().getErrorMessage());
            }
            listener.committed(command);
            return result;
        });
    }

    private void tick() {
        if (closed) {
            return;
        }
        try {
            if (log.isReadyLeader()) {
                propose(true);
            }
        } catch (NettleringException exception) {
            listener.proposalFailed(exception);
        } finally {
            scheduleTick();
        }
    }

    private void scheduleTick() {
        if (!closed) {
            timer = time.schedule(TICK, this::tick);
        }
    }

    /** Proposes what reports proved and, if asked for, what the planner decides. */
    private void propose(boolean plan) {
        SiteConfiguration current = configuration.get();
        List<TaskCommand> batch =
                part.read(state -> leadership().nextBatch(state, current, time.nanoTime(), time.millis(), plan));
        if (batch.isEmpty()) {
            return;
        }
        Leadership proposer = part.read(state -> leadership());
        log.propose(encode(new TaskCommand.Batch(time.millis(), batch)))
                .whenComplete((result, failure) -> finishProposal(proposer, batch, failure));
    }

    private void finishProposal(Leadership proposer, List<TaskCommand> batch, @Nullable Throwable failure) {
        boolean more = part.read(state -> {
            proposer.proposed();
            return proposer.hasOutbox();
        });
        if (failure != null) {
            listener.proposalFailed(failure);
            return;
        }
        batch.forEach(listener::committed);
        if (more) {
            proposeMore();
        }
    }

    private void proposeMore() {
        try {
            propose(false);
        } catch (NettleringException exception) {
            listener.proposalFailed(exception);
        }
    }

    /** Returns the soft state of the present term; called under the lock of the part. */
    private Leadership leadership() {
        long term = log.term();
        if (!log.isReadyLeader() || log.term() != term) {
            throw notLeader();
        }
        Leadership current = leadership;
        if (current == null || current.term() != term) {
            current = new Leadership(term, planners.get(), time.nanoTime());
            leadership = current;
        }
        return current;
    }

    private static SiteCommand encode(TaskCommand command) {
        return SiteCommand.newBuilder()
                .setTask(TaskCommandCodec.encode(command))
                .build();
    }

    private NettleringException notLeader() {
        String leader = log.leaderId().orElse("");
        return new NettleringException(ErrorCode.NOT_LEADER, "the leader is \"" + leader + "\"");
    }

    /** Stops the loop; requests are still answered. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
