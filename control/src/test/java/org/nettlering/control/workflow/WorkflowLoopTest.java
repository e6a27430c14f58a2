package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.AppenderBase;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;
import org.slf4j.LoggerFactory;

/** When and how often the leader's loop runs, and that it writes no log lines while it holds the lock. */
class WorkflowLoopTest {
    private static final int EVENTS = 10;
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();
    private final SharedLog.Member member = new SharedLog().join(stateMachine);
    private final StageRecorder stageRecorder = new StageRecorder();

    @Test
    void runEventsAreLoggedWithoutHoldingTheLock() {
        List<Integer> lockDepths = new ArrayList<>();
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                if (event.getFormattedMessage().startsWith("run a")) {
                    lockDepths.add(stageRecorder.lockDepth);
                }
            }
        };
        Logger logger = (Logger) LoggerFactory.getLogger(WorkflowLoop.class);
        appender.start();
        logger.addAppender(appender);
        try (WorkflowLoop loop =
                WorkflowLoop.startTimed(member, stateMachine, time, this::accept, TIMINGS, stageRecorder)) {
            loop.update(leadership -> leadership.receiveHeartbeat(heartbeat(), time.nanoTime()));
            stateMachine.read((state, queues) -> state.apply(submitCommand()));
            time.advance(Duration.ofMillis(300));
        } finally {
            logger.detachAppender(appender);
        }
        assertThat(lockDepths).isNotEmpty().containsOnly(0);
    }

    @Test
    void eventsDuringAnIterationCauseOneMoreIteration() {
        WorkflowLoop[] loopReference = new WorkflowLoop[1];
        try (WorkflowLoop loop = WorkflowLoop.startTimed(
                member,
                stateMachine,
                time,
                command -> {
                    for (int event = 0; event < EVENTS; event++) {
                        loopReference[0].requestPlanAndRun();
                    }
                    return new CompletableFuture<>();
                },
                TIMINGS,
                stageRecorder)) {
            loopReference[0] = loop;
            loop.update(leadership -> leadership.receiveHeartbeat(heartbeat(), time.nanoTime()));
            assertThat(stageRecorder.planCount).isEqualTo(2);
        }
    }

    @Test
    void theTimerRunsTheLoopOnItsExecutor() {
        List<Runnable> executorTasks = new ArrayList<>();
        List<HostCommand> sentCommands = new ArrayList<>();
        HostCommandSender commandSender = command -> {
            sentCommands.add(command);
            return new CompletableFuture<>();
        };
        try (WorkflowLoop loop = WorkflowLoop.startOn(
                executorTasks::add,
                member,
                stateMachine,
                time,
                commandSender,
                TIMINGS,
                WorkflowOptions.NONE,
                LoopMetrics.unexported(time))) {
            loop.update(leadership -> leadership.receiveHeartbeat(heartbeat(), time.nanoTime()));
            time.advance(Duration.ofSeconds(1));
            assertThat(sentCommands).isEmpty();
            assertThat(executorTasks).hasSize(1);
            executorTasks.getFirst().run();
            assertThat(sentCommands).hasSize(1);
        }
    }

    private CompletionStage<HostResponse> accept(HostCommand command) {
        return CompletableFuture.completedStage(
                command instanceof HostCommand.Poll
                        ? new HostResponse.PollResult(1_000, List.of(), List.of())
                        : new HostResponse.Accepted(1_000));
    }

    private static HostHeartbeat heartbeat() {
        HostIncarnation incarnation = new HostIncarnation("h1", "10.0.0.1:80");
        return new HostHeartbeat(incarnation, "pool", "fd", Resources.of(4_000, 4_000, 0), "a", "r1", false, 1_000, 1);
    }

    private static WorkflowCommand submitCommand() {
        StepSpecification step = new StepSpecification(
                1,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                Set.of(),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        return new WorkflowCommand.SubmitJob("a", terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0);
    }

    /** Counts plans and tracks whether the lock is held. */
    private static final class StageRecorder implements LoopTimer {
        private int lockDepth;
        private int planCount;

        @Override
        public void stageStarted(LoopStage stage) {
            lockDepth++;
            planCount += stage == LoopStage.PLAN ? 1 : 0;
        }

        @Override
        public void stageEnded(LoopStage stage) {
            lockDepth--;
        }
    }
}
