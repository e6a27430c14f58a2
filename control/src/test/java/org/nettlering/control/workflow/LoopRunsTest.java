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

/** When and how often the leader's loop runs, and what it does under the lock. */
class LoopRunsTest {
    private static final int EVENTS = 10;
    private static final HostTimings LIMITS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));
    private final WorkflowStateMachine part = WorkflowStateMachine.create();
    private final SharedLog.Member member = new SharedLog().join(part);
    private final Stages stages = new Stages();

    @Test
    void theLinesOfStartsAndEndsAreWrittenWithoutTheLock() {
        List<Integer> depths = new ArrayList<>();
        AppenderBase<ILoggingEvent> appender = new AppenderBase<>() {
            @Override
            protected void append(ILoggingEvent event) {
                if (event.getFormattedMessage().startsWith("run a")) {
                    depths.add(stages.depth);
                }
            }
        };
        Logger logger = (Logger) LoggerFactory.getLogger(WorkflowLoop.class);
        appender.start();
        logger.addAppender(appender);
        try (WorkflowLoop loop = WorkflowLoop.startTimed(member, part, time, this::accept, LIMITS, stages)) {
            loop.update(leadership -> leadership.receiveHeartbeat(report(), time.nanoTime()));
            part.read((state, queues) -> state.apply(submission()));
            time.advance(Duration.ofMillis(300));
        } finally {
            logger.detachAppender(appender);
        }
        assertThat(depths).isNotEmpty().containsOnly(0);
    }

    @Test
    void whatHappensWhileTheLoopRunsHasItRunOnceMore() {
        WorkflowLoop[] loops = new WorkflowLoop[1];
        try (WorkflowLoop loop = WorkflowLoop.startTimed(
                member,
                part,
                time,
                order -> {
                    for (int event = 0; event < EVENTS; event++) {
                        loops[0].requestPlanAndRun();
                    }
                    return new CompletableFuture<>();
                },
                LIMITS,
                stages)) {
            loops[0] = loop;
            loop.update(leadership -> leadership.receiveHeartbeat(report(), time.nanoTime()));
            assertThat(stages.plans).isEqualTo(2);
        }
    }

    @Test
    void theTimerHasTheLoopRunOnItsOwnThread() {
        List<Runnable> handedOver = new ArrayList<>();
        List<HostCommand> sent = new ArrayList<>();
        HostCommandSender orders = order -> {
            sent.add(order);
            return new CompletableFuture<>();
        };
        try (WorkflowLoop loop = WorkflowLoop.startOn(
                handedOver::add, member, part, time, orders, LIMITS, LoopMetrics.unexported(time))) {
            loop.update(leadership -> leadership.receiveHeartbeat(report(), time.nanoTime()));
            time.advance(Duration.ofSeconds(1));
            assertThat(sent).isEmpty();
            assertThat(handedOver).hasSize(1);
            handedOver.getFirst().run();
            assertThat(sent).hasSize(1);
        }
    }

    private CompletionStage<HostResponse> accept(HostCommand order) {
        return CompletableFuture.completedStage(
                order instanceof HostCommand.Poll
                        ? new HostResponse.PollResult(1_000, List.of(), List.of())
                        : new HostResponse.Accepted(1_000));
    }

    private static HostHeartbeat report() {
        HostIncarnation address = new HostIncarnation("h1", "10.0.0.1:80");
        return new HostHeartbeat(address, "pool", "fd", Resources.of(4_000, 4_000, 0), "a", "r1", false, 1_000, 1);
    }

    private static WorkflowCommand submission() {
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

    /** Counts plans, and knows whether the lock is held. */
    private static final class Stages implements LoopTimer {
        private int depth;
        private int plans;

        @Override
        public void stageStarted(LoopStage stage) {
            depth++;
            plans += stage == LoopStage.PLAN ? 1 : 0;
        }

        @Override
        public void stageEnded(LoopStage stage) {
            depth--;
        }
    }
}
