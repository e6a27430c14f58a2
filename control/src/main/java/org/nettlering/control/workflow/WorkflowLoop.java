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
    private static final Duration TICK = Duration.ofMillis(100);

    /** How often the leader logs what is at work and what waits, in runs of the timer. */
    private static final int TICKS_PER_SUMMARY = 10;

    private static final EventLogger LOG = EventLogger.of(WorkflowLoop.class);

    /** The replicated log. */
    private final CommandLog log;

    /** The replicated queues and jobs, whose lock also guards {@link #leadership}. */
    private final WorkflowPart part;

    /** Clocks and timers. */
    private final TimeSource time;

    /** The way to the hosts. */
    private final HostOrders orders;

    /** The times that hosts keep to. */
    private final HostTimings limits;

    /** Measures where the time goes. */
    private final LoopMeasures measures;

    /** Hears what the loop does under the lock. */
    private final LoopMeter meter;

    /** Runs the loop. */
    private final Executor executor;

    /** How often a run was asked for since the last one began; above zero, one is under way or handed over. */
    private final AtomicInteger requests = new AtomicInteger();

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
     * @param part the replicated queues and jobs, not null
     * @param time clocks and timers, not null
     * @param orders the way to the hosts, not null
     * @param limits the times that hosts keep to, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop start(
            CommandLog log, WorkflowPart part, TimeSource time, HostOrders orders, HostTimings limits) {
        return startMetered(log, part, time, orders, limits, LoopMeter.NONE);
    }

    /**
     * Starts the loop on a thread of its own, so that a plan holds up neither timers nor connections.
     *
     * @param executor runs the loop, not null
     * @param log the replicated log, not null
     * @param part the replicated queues and jobs, not null
     * @param time clocks and timers, not null
     * @param orders the way to the hosts, not null
     * @param limits the times that hosts keep to, not null
     * @param measures measures where the time goes, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop startOn(
            Executor executor,
            CommandLog log,
            WorkflowPart part,
            TimeSource time,
            HostOrders orders,
            HostTimings limits,
            LoopMeasures measures) {
        return start(log, part, time, orders, limits, measures, LoopMeter.NONE, executor);
    }

    /**
     * Starts a loop that tells what it does.
     *
     * @param log the replicated log, not null
     * @param part the replicated queues and jobs, not null
     * @param time clocks and timers, not null
     * @param orders the way to the hosts, not null
     * @param limits the times that hosts keep to, not null
     * @param meter hears what the loop does under the lock, not null
     * @return the running loop, never null
     */
    public static WorkflowLoop startMetered(
            CommandLog log,
            WorkflowPart part,
            TimeSource time,
            HostOrders orders,
            HostTimings limits,
            LoopMeter meter) {
        return start(log, part, time, orders, limits, LoopMeasures.unread(time), meter, Runnable::run);
    }

    private static WorkflowLoop start(
            CommandLog log,
            WorkflowPart part,
            TimeSource time,
            HostOrders orders,
            HostTimings limits,
            LoopMeasures measures,
            LoopMeter meter,
            Executor executor) {
        WorkflowLoop loop = new WorkflowLoop(log, part, time, orders, limits, measures, meter, executor);
        loop.scheduleTick();
        return loop;
    }

    private WorkflowLoop(
            CommandLog log,
            WorkflowPart part,
            TimeSource time,
            HostOrders orders,
            HostTimings limits,
            LoopMeasures measures,
            LoopMeter meter,
            Executor executor) {
        this.log = log;
        this.part = part;
        this.time = time;
        this.orders = orders;
        this.limits = limits;
        this.measures = measures;
        this.meter = meter;
        this.executor = executor;
    }

    private void scheduleTick() {
        if (!closed) {
            measures.timerSet(TICK);
            timer = time.schedule(TICK, this::tick);
        }
    }

    private void tick() {
        measures.timerRan();
        try {
            WorkflowLeadership current = leadership;
            if (current != null) {
                withLeadership(LoopStage.REQUEST, current, (state, present) -> present.visitAll());
            }
            runWithPlan();
            ticks++;
            if (ticks % TICKS_PER_SUMMARY == 0) {
                reportLoad();
                measures.report(log.isReadyLeader(), log.term());
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
     * @param change what to change, under the lock; it does not block, not null
     * @param <T> what the change returns
     * @return what the change returned
     * @throws NettleringException with {@code NOT_LEADER} if this member does not lead
     */
    <T> T change(Function<WorkflowLeadership, T> change) {
        T result = hold(LoopStage.REQUEST, state -> change.apply(leadership(state)));
        run();
        return result;
    }

    /** Decides on what the leader knows and the replicated jobs; not without leadership. */
    <T> T decide(BiFunction<WorkflowState, WorkflowLeadership, T> decision) {
        return hold(LoopStage.REQUEST, state -> decision.apply(state, leadership(state)));
    }

    /** Does something under the lock of the jobs. */
    private <T> T hold(LoopStage stage, Function<WorkflowState, T> work) {
        return part.read((state, queues) -> {
            meter.begin(stage);
            try {
                return work.apply(state);
            } finally {
                meter.end(stage);
            }
        });
    }

    /** Changes what the leader knows, with a look at the replicated jobs, then runs the loop; not without leadership. */
    void changeWithState(BiConsumer<WorkflowState, WorkflowLeadership> change) {
        hold(LoopStage.REQUEST, state -> {
            WorkflowLeadership current = leadership(state);
            change.accept(state, current);
            return current;
        });
        run();
    }

    /** Runs the loop once and has starts planned, if this member leads. */
    void runWithPlan() {
        WorkflowLeadership current = leadership;
        if (current != null) {
            withLeadership(LoopStage.REQUEST, current, (state, present) -> present.wantPlan());
        }
        run();
    }

    /** Has the loop run once more, if this member leads. */
    void run() {
        if (!closed && log.isReadyLeader() && requests.getAndIncrement() == 0) {
            executor.execute(this::runWhileAsked);
        }
    }

    private void runWhileAsked() {
        boolean whole = false;
        try {
            int seen;
            do {
                seen = requests.get();
                runOnce();
            } while (requests.addAndGet(-seen) > 0);
            whole = true;
        } finally {
            if (!whole) {
                requests.set(0);
            }
        }
    }

    private void runOnce() {
        if (closed || !log.isReadyLeader()) {
            return;
        }
        long begunNanos = time.nanoTime();
        try {
            propose();
            sendDueOrders();
        } catch (NettleringException exception) {
            if (exception.code() != ErrorCode.NOT_LEADER) {
                LOG.log(WorkflowEvent.LOOP_FAILED, exception);
            }
        } catch (RuntimeException exception) {
            LOG.log(WorkflowEvent.LOOP_FAILED, exception);
        } finally {
            measures.ran(begunNanos);
        }
    }

    private void reportLoad() {
        WorkflowLeadership current = leadership;
        if (current != null && log.isReadyLeader()) {
            withLeadership(
                    LoopStage.REQUEST,
                    current,
                    (state, present) ->
                            LOG.log(WorkflowEvent.LOAD, present.term(), LoadSummary.of(state, present.sessions())));
        }
    }

    /** Changes the state of the present leadership; what an earlier one was told is dropped. */
    private void withLeadership(
            LoopStage stage, WorkflowLeadership expected, BiConsumer<WorkflowState, WorkflowLeadership> change) {
        hold(stage, state -> {
            if (leadership == expected) {
                change.accept(state, expected);
            }
            return expected;
        });
    }

    private void propose() {
        List<WorkflowCommand> batch = new ArrayList<>();
        WorkflowLeadership proposer = hold(LoopStage.PLAN, state -> {
            WorkflowLeadership current = leadership(state);
            batch.addAll(current.nextBatch(state, time.nanoTime(), time.millis()));
            measures.proposed(state, batch);
            return current;
        });
        if (batch.isEmpty()) {
            return;
        }
        SiteCommand command = SiteCommand.newBuilder()
                .setWorkflow(WorkflowCommandCodec.encode(new WorkflowCommand.Batch(batch)))
                .build();
        log.propose(command).whenComplete((result, failure) -> finish(proposer, batch, failure));
    }

    private void finish(WorkflowLeadership proposer, List<WorkflowCommand> batch, @Nullable Throwable failure) {
        if (failure != null) {
            LOG.log(WorkflowEvent.BATCH_FAILED, batch.size(), String.valueOf(failure.getMessage()));
            withLeadership(LoopStage.COMMITTED, proposer, (state, current) -> current.notCommitted(batch));
            return;
        }
        List<Runnable> lines = new ArrayList<>();
        withLeadership(LoopStage.COMMITTED, proposer, (state, current) -> {
            measures.logged(batch);
            current.committed(state, batch, time.nanoTime());
            batch.forEach(command -> lineOf(state, command, current).ifPresent(lines::add));
        });
        run();
        lines.forEach(Runnable::run);
    }

    /** Returns what writes the line of the log for a command that was applied, to be run without the lock. */
    private static Optional<Runnable> lineOf(WorkflowState state, WorkflowCommand command, WorkflowLeadership current) {
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
            case RecordTermination end -> {
                JobPhase phase = state.job(end.run().task().jobId())
                        .map(job -> job.phase())
                        .orElse(JobPhase.CANCELLED);
                TerminationEvidence proof = current.takeProof(end.run());
                yield Optional.of(() -> LOG.log(WorkflowEvent.RUN_ENDED, end.run(), described(end, proof), phase));
            }
            default -> Optional.empty();
        };
    }

    /** An end that the host listed needs no word on what showed it. */
    private static String described(RecordTermination end, TerminationEvidence proof) {
        return proof instanceof TerminationEvidence.Listed ? end.status().name() : end.status() + " by " + proof;
    }

    private void sendDueOrders() {
        List<HostCommand> due = new ArrayList<>();
        WorkflowLeadership sender = hold(LoopStage.DUE_ORDERS, state -> {
            WorkflowLeadership current = leadership(state);
            due.addAll(current.dueOrders(time.nanoTime()));
            return current;
        });
        for (HostCommand order : due) {
            long sentNanos = time.nanoTime();
            measures.sent(order);
            orders.send(order)
                    .whenComplete((answer, failure) -> answered(sender, order, sentNanos, answerOf(answer, failure)));
        }
    }

    private static HostResponse answerOf(@Nullable HostResponse answer, @Nullable Throwable failure) {
        return answer == null ? new HostResponse.NoResponse(String.valueOf(failure)) : answer;
    }

    private void answered(WorkflowLeadership sender, HostCommand order, long sentNanos, HostResponse answer) {
        measures.answered(order, sentNanos, answer);
        boolean carriedOut = answer instanceof HostResponse.Accepted || answer instanceof HostResponse.PollResult;
        if (!carriedOut) {
            LOG.log(WorkflowEvent.ORDER_FAILED, order, order.host().id(), answer);
        }
        withLeadership(
                LoopStage.ANSWER,
                sender,
                (state, current) -> current.answered(state, order, sentNanos, answer, time.nanoTime()));
        run();
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
            current = WorkflowLeadership.begin(state, term, limits, measures, time.nanoTime());
            measures.leadershipBegins();
            LOG.log(WorkflowEvent.TAKEN_OVER, term, current.sessions().size());
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
