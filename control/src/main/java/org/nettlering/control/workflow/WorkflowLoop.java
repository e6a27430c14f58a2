package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiConsumer;
import java.util.function.BiFunction;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.nettlering.control.log.CommandLog;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.drain.DrainDecision;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.domain.workflow.host.TerminationEvidence;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;
import org.nettlering.wire.proto.CommandProto.SiteResult;

/**
 * The control loop of the leader. Each iteration proposes a batch with the terminations and the planned starts of runs to
 * the replicated log, and sends the commands to hosts that are due.
 *
 * <p>Guarantees:
 *
 * <ul>
 *   <li>A start command is sent to a host only after the start was committed.
 *   <li>At most one batch is in flight.
 *   <li>An iteration follows each event and each tick of the timer, on the executor of the loop, one at a time. Events
 *       during an iteration cause another one.
 *   <li>Commands are sent without holding a lock.
 *   <li>Parts of the work fail independently: whatever fails for one host, one command or one batch, and a plan that fails,
 *       keep nothing else from being done. Failures are logged and counted.
 * </ul>
 *
 * <p>Thread-safe.
 */
public final class WorkflowLoop implements AutoCloseable {
    /** The interval of the ticks, each of which causes an iteration regardless of events. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** The interval of the load and loop summaries in the log, in ticks. */
    private static final int TICKS_PER_SUMMARY = 10;

    private static final EventLogger LOG = EventLogger.of(WorkflowLoop.class);

    private final CommandLog log;

    /** The replicated queues and jobs, whose lock also guards {@link #leadership}. */
    private final WorkflowStateMachine stateMachine;

    private final TimeSource time;

    private final HostCommandSender commandSender;

    private final HostTimings timings;

    private final WorkflowOptions options;

    private final LoopMetrics metrics;

    private final LoopFailures failures;

    private final LoopTimer stageTimer;

    private final Executor executor;

    /**
     * The requests that no completed iteration has served; positive while an iteration is in progress or submitted to the
     * executor.
     */
    private final AtomicInteger iterationRequests = new AtomicInteger();

    /** The state of the latest term that this member led, or null before the first one. */
    private volatile @Nullable WorkflowLeadership leadership;

    /** The number of ticks; accessed by the timer only. */
    private int ticks;

    /** The timer of the next tick. */
    private volatile TimeSource.@Nullable Timer timer;

    private volatile boolean closed;

    /**
     * Starts a loop that runs on the threads that deliver events to it, without exported metrics.
     *
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param time the clocks and timers, not null
     * @param commandSender sends commands to hosts, not null
     * @param timings the time limits of hosts, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop start(
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings) {
        return startTimed(log, stateMachine, time, commandSender, timings, LoopTimer.NONE);
    }

    /**
     * Starts a loop that runs on an executor, so that planning does not block timers and connections.
     *
     * @param executor runs the loop, not null
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param time the clocks and timers, not null
     * @param commandSender sends commands to hosts, not null
     * @param timings the time limits of hosts, not null
     * @param options what the site has switched on, not null
     * @param metrics the metrics of the loop, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop startOn(
            Executor executor,
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings,
            WorkflowOptions options,
            LoopMetrics metrics) {
        return start(log, stateMachine, time, commandSender, timings, options, metrics, LoopTimer.NONE, executor);
    }

    /**
     * Starts a loop that reports its stages to a {@link LoopTimer} and runs on the threads that deliver events to it.
     *
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param time the clocks and timers, not null
     * @param commandSender sends commands to hosts, not null
     * @param timings the time limits of hosts, not null
     * @param stageTimer receives the stages executed under the lock of the state machine, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop startTimed(
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings,
            LoopTimer stageTimer) {
        return start(
                log,
                stateMachine,
                time,
                commandSender,
                timings,
                WorkflowOptions.NONE,
                LoopMetrics.unexported(time),
                stageTimer,
                Runnable::run);
    }

    private static WorkflowLoop start(
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings,
            WorkflowOptions options,
            LoopMetrics metrics,
            LoopTimer stageTimer,
            Executor executor) {
        WorkflowLoop loop = new WorkflowLoop(
                log, stateMachine, time, commandSender, timings, options, metrics, stageTimer, executor);
        loop.scheduleTick();
        return loop;
    }

    private WorkflowLoop(
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings,
            WorkflowOptions options,
            LoopMetrics metrics,
            LoopTimer stageTimer,
            Executor executor) {
        this.log = log;
        this.stateMachine = stateMachine;
        this.time = time;
        this.commandSender = commandSender;
        this.timings = timings;
        this.options = options;
        this.metrics = metrics;
        failures = new LoopFailures(metrics);
        this.stageTimer = stageTimer;
        this.executor = executor;
    }

    private void scheduleTick() {
        if (!closed) {
            metrics.timerScheduled(TICK_INTERVAL);
            timer = time.schedule(TICK_INTERVAL, this::tick);
        }
    }

    private void tick() {
        metrics.timerFired();
        try {
            WorkflowLeadership current = leadership;
            if (current != null) {
                withLeadership(LoopStage.REQUEST, current, (state, active) -> active.markAllHostsDue());
            }
            requestPlanAndRun();
            ticks++;
            if (ticks % TICKS_PER_SUMMARY == 0) {
                logLoad();
                inspect();
                metrics.logSummary(log.isReadyLeader(), log.term());
            }
        } catch (RuntimeException exception) {
            LOG.log(WorkflowEvent.LOOP_FAILED, exception);
        } finally {
            scheduleTick();
        }
    }

    /**
     * Updates the leadership, then requests an iteration of the loop.
     *
     * @param update the update, called under the lock of the state machine; must not block, not null
     * @param <T> the type of the result
     * @return the result of the update
     * @throws NettleringException with {@code NOT_LEADER} if this member does not lead or has not yet applied all entries of
     *     earlier terms
     */
    <T> T update(Function<WorkflowLeadership, T> update) {
        T result = withLock(LoopStage.REQUEST, state -> update.apply(leadership(state)));
        requestRun();
        return result;
    }

    /**
     * Evaluates a decision on the replicated state and the leadership without requesting an iteration; throws
     * {@code NOT_LEADER} like {@link #update}.
     */
    <T> T decide(BiFunction<WorkflowState, WorkflowLeadership, T> decision) {
        return withLock(LoopStage.REQUEST, state -> decision.apply(state, leadership(state)));
    }

    /** Executes a stage under the lock of the state machine. */
    private <T> T withLock(LoopStage stage, Function<WorkflowState, T> action) {
        return stateMachine.read((state, queues) -> {
            stageTimer.stageStarted(stage);
            try {
                return action.apply(state);
            } finally {
                stageTimer.stageEnded(stage);
            }
        });
    }

    /** Like {@link #update}, for updates that also read the replicated state. */
    void updateWithState(BiConsumer<WorkflowState, WorkflowLeadership> update) {
        withLock(LoopStage.REQUEST, state -> {
            WorkflowLeadership current = leadership(state);
            update.accept(state, current);
            return current;
        });
        requestRun();
    }

    /** Requests an iteration of the loop that plans starts, if this member leads. */
    void requestPlanAndRun() {
        WorkflowLeadership current = leadership;
        if (current != null) {
            withLeadership(LoopStage.REQUEST, current, (state, active) -> active.requestPlan());
        }
        requestRun();
    }

    /** Requests an iteration of the loop, if this member leads and is ready. */
    void requestRun() {
        if (!closed && log.isReadyLeader() && iterationRequests.getAndIncrement() == 0) {
            executor.execute(this::iterateWhileRequested);
        }
    }

    private void iterateWhileRequested() {
        boolean completed = false;
        try {
            int served;
            do {
                served = iterationRequests.get();
                runIteration();
            } while (iterationRequests.addAndGet(-served) > 0);
            completed = true;
        } finally {
            if (!completed) {
                // After an error, the next request must submit to the executor again.
                iterationRequests.set(0);
            }
        }
    }

    private void runIteration() {
        if (closed || !log.isReadyLeader()) {
            return;
        }
        long startNanos = metrics.loopRunStartNanos();
        failures.isolate(LoopPart.PROPOSAL, "an iteration", this::proposeBatch);
        failures.isolate(LoopPart.VISIT, "an iteration", this::sendDueCommands);
        metrics.recordLoopRun(startNanos);
        failures.logAll();
    }

    private void logLoad() {
        WorkflowLeadership current = leadership;
        if (current != null && log.isReadyLeader()) {
            withLeadership(LoopStage.REQUEST, current, (state, active) -> {
                LoadSummary load = LoadSummary.of(state, active.sessions(), time.nanoTime());
                LOG.logWithFields(WorkflowEvent.LOAD_SUMMARY, load.toFields(), active.term());
                logDrains(state, active);
            });
        }
    }

    private void logDrains(WorkflowState state, WorkflowLeadership active) {
        Map<String, Map<DrainDecision, Integer>> progress =
                HostDrains.progress(state, active.sessions(), active.runTimes());
        metrics.diagnostics().drains().record(state.evacuations(), progress);
        if (!progress.isEmpty()) {
            LOG.log(
                    WorkflowEvent.DRAIN_SUMMARY,
                    active.term(),
                    state.evacuations().version(),
                    progress);
        }
    }

    /** Looks for whatever takes too long, and logs it. */
    private void inspect() {
        WorkflowLeadership current = leadership;
        List<Runnable> logLines = new ArrayList<>();
        withLock(LoopStage.REQUEST, state -> {
            LeaderDiagnostics diagnostics = metrics.diagnostics();
            if (current == null || !log.isReadyLeader()) {
                diagnostics.doesNotLead();
            } else if (current == leadership) {
                diagnostics.activity().leads(current.term());
                logLines.addAll(diagnostics.inspect(state, current, timings.lease()));
            }
            return diagnostics;
        });
        metrics.diagnostics().logStops();
        logLines.forEach(Runnable::run);
    }

    /** Applies an update if the expected leadership is still the current one; drops it otherwise. */
    private void withLeadership(
            LoopStage stage, WorkflowLeadership expected, BiConsumer<WorkflowState, WorkflowLeadership> update) {
        withLock(stage, state -> {
            if (leadership == expected) {
                update.accept(state, expected);
            }
            return expected;
        });
    }

    /**
     * A batch to propose.
     *
     * @param proposer the leadership that decided on it
     * @param commands the commands, possibly none
     */
    private record Proposal(WorkflowLeadership proposer, List<WorkflowCommand> commands) {}

    private void proposeBatch() {
        Proposal proposal = withLock(LoopStage.PLAN, state -> {
            WorkflowLeadership current = leadership(state);
            List<WorkflowCommand> batch = current.nextBatch(state, time.nanoTime(), time.millis());
            failures.isolate(LoopPart.PROPOSAL, "its metrics", () -> metrics.batchProposed(batch));
            return new Proposal(current, batch);
        });
        if (proposal.commands().isEmpty()) {
            return;
        }
        propose(proposal).whenComplete((result, failure) -> {
            String subject = "a batch of " + proposal.commands().size() + " commands";
            failures.isolate(LoopPart.COMMIT, subject, () -> batchFinished(proposal, failure));
            if (failure == null) {
                requestRun();
            }
            failures.logAll();
        });
    }

    /** Proposes a batch; an exception counts as a batch that failed. */
    private CompletionStage<SiteResult> propose(Proposal proposal) {
        try {
            return log.propose(SiteCommand.newBuilder()
                    .setWorkflow(WorkflowCommandCodec.encode(new WorkflowCommand.Batch(proposal.commands())))
                    .build());
        } catch (RuntimeException exception) {
            failures.add(LoopPart.PROPOSAL, "a batch of " + proposal.commands().size() + " commands", exception);
            return CompletableFuture.failedStage(exception);
        }
    }

    private void batchFinished(Proposal proposal, @Nullable Throwable failure) {
        List<WorkflowCommand> batch = proposal.commands();
        if (failure != null) {
            LOG.log(WorkflowEvent.BATCH_FAILED, batch.size(), String.valueOf(failure.getMessage()));
            withLeadership(LoopStage.COMMITTED, proposal.proposer(), (state, current) -> {
                metrics.batchFailed();
                current.batchFailed(batch);
            });
            return;
        }
        List<Runnable> logLines = new ArrayList<>();
        withLeadership(LoopStage.COMMITTED, proposal.proposer(), (state, current) -> {
            current.batchCommitted(state, batch, time.nanoTime());
            batch.forEach(command -> logLine(state, command, current).ifPresent(logLines::add));
            metrics.batchCommitted(batch);
        });
        logLines.forEach(Runnable::run);
    }

    /** Returns an action that logs the event of an applied command, to be run without the lock. */
    private static Optional<Runnable> logLine(
            WorkflowState state, WorkflowCommand command, WorkflowLeadership current) {
        long term = current.term();
        return switch (command) {
            // A start has no effect, and is not logged, if an earlier command of the same batch finished the job.
            case StartRun start
            when state.isActiveOnItsHost(start.run()) ->
                Optional.of(() -> LOG.log(
                        WorkflowEvent.RUN_STARTED,
                        start.run().run(),
                        start.run().host().id(),
                        start.run().host().address(),
                        term));
            case RecordTermination termination -> {
                String phase = state.job(termination.run().task().jobId())
                        .map(job -> job.phase().name())
                        .orElse("NOT_STORED");
                TerminationEvidence evidence = current.removeEvidence(termination.run());
                yield Optional.of(() ->
                        LOG.log(WorkflowEvent.RUN_ENDED, termination.run(), describe(termination, evidence), phase));
            }
            default -> Optional.empty();
        };
    }

    /** Returns the status, followed by the evidence if the termination was inferred instead of reported by the host. */
    private static String describe(RecordTermination termination, TerminationEvidence evidence) {
        return evidence instanceof TerminationEvidence.Listed
                ? termination.status().name()
                : termination.status() + " by " + evidence;
    }

    private void sendDueCommands() {
        List<HostCommand> commands = new ArrayList<>();
        WorkflowLeadership sender = withLock(LoopStage.DUE_ORDERS, state -> {
            WorkflowLeadership current = leadership(state);
            commands.addAll(current.dueCommands(time.nanoTime()));
            return current;
        });
        commands.forEach(command -> send(sender, command));
    }

    private void send(WorkflowLeadership sender, HostCommand command) {
        long sentNanos = time.nanoTime();
        failures.isolate(LoopPart.COMMAND, command, () -> metrics.commandSent(command));
        submit(command)
                .whenComplete((response, failure) ->
                        handleResponse(sender, command, sentNanos, responseOrFailure(response, failure)));
    }

    /** Passes a command to the sender; an exception counts as a command that the host may have received. */
    private CompletionStage<HostResponse> submit(HostCommand command) {
        try {
            return commandSender.send(command);
        } catch (RuntimeException exception) {
            failures.add(LoopPart.COMMAND, command, exception);
            return CompletableFuture.failedStage(exception);
        }
    }

    private static HostResponse responseOrFailure(@Nullable HostResponse response, @Nullable Throwable failure) {
        return response == null ? new HostResponse.NoResponse(String.valueOf(failure)) : response;
    }

    private void handleResponse(WorkflowLeadership sender, HostCommand command, long sentNanos, HostResponse response) {
        failures.isolate(
                LoopPart.RESPONSE,
                command,
                () -> withLeadership(
                        LoopStage.ANSWER,
                        sender,
                        (state, current) ->
                                current.handleResponse(state, command, sentNanos, response, time.nanoTime())));
        failures.isolate(LoopPart.RESPONSE, command, () -> metrics.commandFinished(command, sentNanos, response));
        boolean accepted = response instanceof HostResponse.Accepted || response instanceof HostResponse.PollResult;
        if (!accepted) {
            LOG.log(WorkflowEvent.COMMAND_FAILED, command, command.host().id(), response);
        }
        requestRun();
        failures.logAll();
    }

    /** Returns the leadership of the current term, taking over if it is new; called under the lock of the state machine. */
    private WorkflowLeadership leadership(WorkflowState state) {
        long term = log.term();
        // The term is read again to exclude that readiness belongs to a later term.
        if (!log.isReadyLeader() || log.term() != term) {
            String leader = log.leaderId().orElse("");
            throw new NettleringException(ErrorCode.NOT_LEADER, "the leader is \"" + leader + "\"");
        }
        WorkflowLeadership current = leadership;
        if (current == null || current.term() != term) {
            metrics.resetForNewTerm();
            current = WorkflowLeadership.takeOver(state, term, timings, options, metrics, failures, time.nanoTime());
            metrics.diagnostics().activity().leads(term);
            LOG.log(WorkflowEvent.LEADERSHIP_STARTED, term, current.sessions().size());
            leadership = current;
        }
        return current;
    }

    /** Stops the loop; an iteration in progress completes. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
