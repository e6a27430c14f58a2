package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.domain.workflow.host.HostTimings;

/** The timers of the watchdog are other ones than those of the loop, as in a control process. */
class LoopWatchdogTest {
    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));

    private final ManualTime time = ManualTime.startingAt(Instant.parse("2026-01-01T00:00:00Z"));

    private final WorkflowStateMachine stateMachine = WorkflowStateMachine.create();

    private final SharedLog.Member member = new SharedLog().join(stateMachine);

    private final LoopMetrics metrics = LoopMetrics.unexported(time);

    private final EventRecorder events = EventRecorder.start();

    private final LoopWatchdog watchdog = LoopWatchdog.start(time, metrics);

    @AfterEach
    void stop() {
        watchdog.close();
        events.close();
    }

    @Test
    void aLoopThatRunsIsNotReported() {
        try (WorkflowLoop loop = start(new ArrayList<>(), true)) {
            assertThat(loop).isNotNull();
            advance(5_000);
        }
        assertThat(events.messages(WorkflowEvent.LOOP_STOOD_STILL)).isEmpty();
        assertThat(events.messages(WorkflowEvent.BATCH_NOT_FINISHED)).isEmpty();
    }

    @Test
    void aLoopWhoseExecutorRunsNothingIsReportedOnceASecond() {
        List<Runnable> neverRun = new ArrayList<>();
        try (WorkflowLoop loop = start(neverRun, false)) {
            loop.update(leadership -> "leads");
            advance(3_100);
        }
        assertThat(neverRun).hasSize(1);
        assertThat(events.messages(WorkflowEvent.LOOP_STOOD_STILL)).hasSize(3);
        assertThat(events.messages(WorkflowEvent.LOOP_STOOD_STILL).getFirst())
                .startsWith("workflow loop without an iteration for 1000 ms and a tick for ")
                .contains("in term 1: iteration: none in progress; tick: none in progress");
    }

    @Test
    void anIterationThatHangsIsReportedWithItsThread() {
        metrics.diagnostics().activity().leads(1);
        metrics.timerFired();
        metrics.loopRunStartNanos();
        advance(1_000);
        assertThat(events.messages(WorkflowEvent.LOOP_STOOD_STILL).getFirst())
                .contains("iteration: in progress in " + Thread.currentThread().getName())
                .contains("LoopWatchdog.check");
    }

    @Test
    void aTimerThatStandsStillIsReportedOnAMemberThatDoesNotLead() {
        advance(1_000);
        assertThat(events.messages(WorkflowEvent.LOOP_STOOD_STILL).getFirst())
                .contains(" and a tick for 1000 ms in term 0: ");
    }

    @Test
    void aBatchWithoutAnOutcomeIsReportedOnceASecond() {
        metrics.diagnostics().activity().leads(1);
        metrics.diagnostics().activity().batchProposed(7);
        for (int tick = 0; tick < 24; tick++) {
            metrics.timerFired();
            metrics.recordLoopRun(metrics.loopRunStartNanos());
            metrics.timerScheduled(Duration.ofMillis(100));
            advance(100);
        }
        assertThat(events.messages(WorkflowEvent.BATCH_NOT_FINISHED))
                .containsExactly(
                        "batch of 7 workflow commands of the leader of term 1 in flight for 1000 ms",
                        "batch of 7 workflow commands of the leader of term 1 in flight for 2000 ms");
        metrics.batchFailed();
        advance(2_000);
        assertThat(events.messages(WorkflowEvent.BATCH_NOT_FINISHED)).hasSize(2);
    }

    /** After a standstill of the whole process the loop gets time to run before it is reported. */
    @Test
    void aStandstillOfTheProcessIsReportedAsThatAndNotAsOneOfTheLoop() {
        LateTime lateTime = new LateTime(time);
        LoopMetrics lateMetrics = LoopMetrics.unexported(lateTime);
        try (LoopWatchdog late = LoopWatchdog.start(lateTime, lateMetrics)) {
            assertThat(late).isNotNull();
            lateMetrics.diagnostics().activity().leads(1);
            lateTime.lateNanos = Duration.ofSeconds(3).toNanos();
            advance(500);
        }
        assertThat(events.messages(WorkflowEvent.PROCESS_STOOD_STILL))
                .containsExactly("this process stood still for 3000 ms");
        assertThat(events.messages(WorkflowEvent.LOOP_STOOD_STILL)).isEmpty();
    }

    /** A clock whose timers fire late. */
    private static final class LateTime implements TimeSource {
        private final TimeSource time;

        private long lateNanos;

        private LateTime(TimeSource time) {
            this.time = time;
        }

        @Override
        public Instant instant() {
            return time.instant();
        }

        @Override
        public long nanoTime() {
            return time.nanoTime() + lateNanos;
        }

        @Override
        public Timer schedule(Duration delay, Runnable task) {
            return time.schedule(delay, task);
        }
    }

    private WorkflowLoop start(List<Runnable> neverRun, boolean run) {
        return WorkflowLoop.startOn(
                run ? Runnable::run : neverRun::add,
                member,
                stateMachine,
                time,
                command -> new CompletableFuture<>(),
                TIMINGS,
                WorkflowOptions.NONE,
                metrics);
    }

    private void advance(long millis) {
        for (long passed = 0; passed < millis; passed += 50) {
            time.advance(Duration.ofMillis(50));
        }
    }
}
