package org.nettlering.control.workflow;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;
import org.nettlering.domain.workflow.host.TerminationEvidence;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.wire.codec.WorkflowCommandCodec;
import org.nettlering.wire.proto.CommandProto.SiteCommand;

/**
 * The leader's loop: logs the ends that hosts prove, plans starts, logs them, and only then sends the orders.
 *
 * <p>Runs whenever something happened and at regular intervals, on threads of its executor, one run at a time; whatever
 * happens during a run has one more follow. One batch of changes is on its way through the log at a time. Thread-safe;
 * orders are sent without a lock held.
 */
public final class WorkflowLoop implements AutoCloseable {
    /** How often the loop runs when nothing happens. */
    private static final Duration TICK_INTERVAL = Duration.ofMillis(100);

    /** How often the leader logs what is at work and what waits, in runs of the timer. */
    private static final int TICKS_PER_SUMMARY = 10;

    private static final EventLogger LOG = EventLogger.of(WorkflowLoop.class);

    /** The replicated log. */
    private final CommandLog log;

    /** The replicated queues and jobs, whose lock also guards {@link #leadership}. */
    private final WorkflowStateMachine stateMachine;

    /** Clocks and timers. */
    private final TimeSource time;

    /** The way to the hosts. */
    private final HostCommandSender commandSender;

    /** The times that hosts keep to. */
    private final HostTimings timings;

    /** Measures where the time goes. */
    private final LoopMetrics metrics;

    /** Hears what the loop does under the lock. */
    private final LoopTimer stageTimer;

    /** Runs the loop. */
    private final Executor executor;

    /** How often a run was asked for since the last one began; above zero, one is under way or handed over. */
    private final AtomicInteger runRequests = new AtomicInteger();

    /** What is known while this member leads. */
    private volatile @Nullable WorkflowLeadership leadership;

    /** How often the timer has run; used by the timer alone. */
    private int ticks;

    /** The next run of the loop. */
    private volatile TimeSource.@Nullable Timer timer;

    /** Whether the loop was closed. */
    private volatile boolean closed;

    /**
     * Starts the loop on the threads that bring it something.
     *
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param time clocks and timers, not null
     * @param commandSender the way to the hosts, not null
     * @param timings the times that hosts keep to, not null
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
     * Starts the loop on a thread of its own, so that a plan holds up neither timers nor connections.
     *
     * @param executor runs the loop, not null
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param time clocks and timers, not null
     * @param commandSender the way to the hosts, not null
     * @param timings the times that hosts keep to, not null
     * @param metrics measures where the time goes, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop startOn(
            Executor executor,
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings,
            LoopMetrics metrics) {
        return start(log, stateMachine, time, commandSender, timings, metrics, LoopTimer.NONE, executor);
    }

    /**
     * Starts a loop that tells what it does.
     *
     * @param log the replicated log, not null
     * @param stateMachine the replicated queues and jobs, not null
     * @param time clocks and timers, not null
     * @param commandSender the way to the hosts, not null
     * @param timings the times that hosts keep to, not null
     * @param stageTimer hears what the loop does under the lock, not null
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
            LoopMetrics metrics,
            LoopTimer stageTimer,
            Executor executor) {
        WorkflowLoop loop =
                new WorkflowLoop(log, stateMachine, time, commandSender, timings, metrics, stageTimer, executor);
        loop.scheduleTick();
        return loop;
    }

    private WorkflowLoop(
            CommandLog log,
            WorkflowStateMachine stateMachine,
            TimeSource time,
            HostCommandSender commandSender,
            HostTimings timings,
            LoopMetrics metrics,
            LoopTimer stageTimer,
            Executor executor) {
        this.log = log;
        this.stateMachine = stateMachine;
        this.time = time;
        this.commandSender = commandSender;
        this.timings = timings;
        this.metrics = metrics;
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
                withLeadership(LoopStage.REQUEST, current, (state, present) -> present.markAllHostsDue());
            }
            requestPlanAndRun();
            ticks++;
            if (ticks % TICKS_PER_SUMMARY == 0) {
                logLoad();
                metrics.logSummary(log.isReadyLeader(), log.term());
            }
        } catch (RuntimeException exception) {
            LOG.log(WorkflowEvent.LOOP_FAILED, exception);
        } finally {
            scheduleTick();
        }
    }

    /**
     * Changes what the leader knows beside the replicated jobs, then runs the loop.
     *
     * @param update what to change, under the lock; it does not block, not null
     * @param <T> what the change returns
     * @return what the change returned
     * @throws NettleringException with {@code NOT_LEADER} if this member does not lead
     */
    <T> T update(Function<WorkflowLeadership, T> update) {
        T result = withLock(LoopStage.REQUEST, state -> update.apply(leadership(state)));
        requestRun();
        return result;
    }

    /** Decides on what the leader knows and the replicated jobs; not without leadership. */
    <T> T decide(BiFunction<WorkflowState, WorkflowLeadership, T> decision) {
        return withLock(LoopStage.REQUEST, state -> decision.apply(state, leadership(state)));
    }

    /** Does something under the lock of the jobs. */
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

    /** Changes what the leader knows, with a look at the replicated jobs, then runs the loop; not without leadership. */
    void updateWithState(BiConsumer<WorkflowState, WorkflowLeadership> update) {
        withLock(LoopStage.REQUEST, state -> {
            WorkflowLeadership current = leadership(state);
            update.accept(state, current);
            return current;
        });
        requestRun();
    }

    /** Runs the loop once and has starts planned, if this member leads. */
    void requestPlanAndRun() {
        WorkflowLeadership current = leadership;
        if (current != null) {
            withLeadership(LoopStage.REQUEST, current, (state, present) -> present.requestPlan());
        }
        requestRun();
    }

    /** Has the loop run once more, if this member leads. */
    void requestRun() {
        if (!closed && log.isReadyLeader() && runRequests.getAndIncrement() == 0) {
            executor.execute(this::runWhileRequested);
        }
    }

    private void runWhileRequested() {
        boolean completed = false;
        try {
            int served;
            do {
                served = runRequests.get();
                runOnce();
            } while (runRequests.addAndGet(-served) > 0);
            completed = true;
        } finally {
            if (!completed) {
                runRequests.set(0);
            }
        }
    }

    private void runOnce() {
        if (closed || !log.isReadyLeader()) {
            return;
        }
        long startNanos = time.nanoTime();
        try {
            proposeBatch();
            sendDueCommands();
        } catch (NettleringException exception) {
            if (exception.code() != ErrorCode.NOT_LEADER) {
                LOG.log(WorkflowEvent.LOOP_FAILED, exception);
            }
        } catch (RuntimeException exception) {
            LOG.log(WorkflowEvent.LOOP_FAILED, exception);
        } finally {
            metrics.recordLoopRun(startNanos);
        }
    }

    private void logLoad() {
        WorkflowLeadership current = leadership;
        if (current != null && log.isReadyLeader()) {
            withLeadership(
                    LoopStage.REQUEST,
                    current,
                    (state, present) -> LOG.log(
                            WorkflowEvent.LOAD_SUMMARY, present.term(), LoadSummary.of(state, present.sessions())));
        }
    }

    /** Changes the state of the present leadership; what an earlier one was told is dropped. */
    private void withLeadership(
            LoopStage stage, WorkflowLeadership expected, BiConsumer<WorkflowState, WorkflowLeadership> update) {
        withLock(stage, state -> {
            if (leadership == expected) {
                update.accept(state, expected);
            }
            return expected;
        });
    }

    private void proposeBatch() {
        List<WorkflowCommand> batch = new ArrayList<>();
        WorkflowLeadership proposer = withLock(LoopStage.PLAN, state -> {
            WorkflowLeadership current = leadership(state);
            batch.addAll(current.nextBatch(state, time.nanoTime(), time.millis()));
            metrics.batchProposed(state, batch);
            return current;
        });
        if (batch.isEmpty()) {
            return;
        }
        SiteCommand command = SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(new WorkflowCommand.Batch(batch)))
                .build();
        log.propose(command).whenComplete((result, failure) -> batchFinished(proposer, batch, failure));
    }

    private void batchFinished(WorkflowLeadership proposer, List<WorkflowCommand> batch, @Nullable Throwable failure) {
        if (failure != null) {
            LOG.log(WorkflowEvent.BATCH_FAILED, batch.size(), String.valueOf(failure.getMessage()));
            withLeadership(LoopStage.COMMITTED, proposer, (state, current) -> current.batchFailed(batch));
            return;
        }
        List<Runnable> logLines = new ArrayList<>();
        withLeadership(LoopStage.COMMITTED, proposer, (state, current) -> {
            metrics.batchCommitted(batch);
            current.batchCommitted(state, batch, time.nanoTime());
            batch.forEach(command -> logLine(state, command, current).ifPresent(logLines::add));
        });
        requestRun();
        logLines.forEach(Runnable::run);
    }

    /** Returns what writes the line of the log for a command that was applied, to be run without the lock. */
    private static Optional<Runnable> logLine(
            WorkflowState state, WorkflowCommand command, WorkflowLeadership current) {
        long term = current.term();
        return switch (command) {
            // The job may have ended by an earlier command of the same batch.
            case StartRun start
            when state.isActive(start.run().run()) ->
                Optional.of(() -> LOG.log(
                        WorkflowEvent.RUN_STARTED,
                        start.run().run(),
                        start.run().host().id(),
                        start.run().host().address(),
                        term));
            case RecordTermination termination -> {
                JobPhase phase = state.job(termination.run().task().jobId())
                        .map(job -> job.phase())
                        .orElse(JobPhase.CANCELLED);
                TerminationEvidence evidence = current.removeEvidence(termination.run());
                yield Optional.of(() ->
                        LOG.log(WorkflowEvent.RUN_ENDED, termination.run(), describe(termination, evidence), phase));
            }
            default -> Optional.empty();
        };
    }

    /** An end that the host listed needs no word on what showed it. */
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
        for (HostCommand command : commands) {
            long sentNanos = time.nanoTime();
            metrics.commandSent(command);
            commandSender
                    .send(command)
                    .whenComplete((response, failure) ->
                            handleResponse(sender, command, sentNanos, responseOrFailure(response, failure)));
        }
    }

    private static HostResponse responseOrFailure(@Nullable HostResponse response, @Nullable Throwable failure) {
        return response == null ? new HostResponse.NoResponse(String.valueOf(failure)) : response;
    }

    private void handleResponse(WorkflowLeadership sender, HostCommand command, long sentNanos, HostResponse response) {
        metrics.commandFinished(command, sentNanos, response);
        boolean accepted = response instanceof HostResponse.Accepted || response instanceof HostResponse.PollResult;
        if (!accepted) {
            LOG.log(WorkflowEvent.COMMAND_FAILED, command, command.host().id(), response);
        }
        withLeadership(
                LoopStage.ANSWER,
                sender,
                (state, current) -> current.handleResponse(state, command, sentNanos, response, time.nanoTime()));
        requestRun();
    }

    /** Returns the soft state of the present term; called under the lock of the part. */
    private WorkflowLeadership leadership(WorkflowState state) {
        long term = log.term();
        if (!log.isReadyLeader() || log.term() != term) {
            String leader = log.leaderId().orElse("");
            throw new NettleringException(ErrorCode.NOT_LEADER, "the leader is \"" + leader + "\"");
        }
        WorkflowLeadership current = leadership;
        if (current == null || current.term() != term) {
            current = WorkflowLeadership.takeOver(state, term, timings, metrics, time.nanoTime());
            metrics.resetForNewTerm();
            LOG.log(WorkflowEvent.LEADERSHIP_STARTED, term, current.sessions().size());
            leadership = current;
        }
        return current;
    }

    /** Stops the loop. */
    @Override
    public void close() {
        closed = true;
        TimeSource.Timer pending = timer;
        if (pending != null) {
            pending.cancel();
        }
    }
}
