package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.StepLocality;
import org.nettlering.domain.workflow.StepSharing;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.End;
import org.nettlering.domain.workflow.WorkflowCommand.Start;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostAnswer;
import org.nettlering.domain.workflow.host.HostAnswer.ListedEnd;
import org.nettlering.domain.workflow.host.HostLimits;
import org.nettlering.domain.workflow.host.HostOrder;
import org.nettlering.domain.workflow.host.HostReport;

/** What the leader makes of runs whose host is lost, leaves or turns out to be alive. */
class LostRunsTest {
    private static final int HOSTS = 3;
    private static final long MILLI = 1_000_000;
    private static final long QUICK_LOOK_PAUSE_MILLIS = 101;
    private static final HostLimits LIMITS =
            new HostLimits(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));
    private static final HostAnswer.Listing NOTHING = new HostAnswer.Listing(1_000, List.of(), List.of());

    private final WorkflowState state = WorkflowState.empty();
    private final WorkflowLeadership leadership =
            WorkflowLeadership.begin(state, 1, LIMITS, LoopMeasures.unread(ManualTime.startingAt(Instant.EPOCH)), 0);
    private long nowNanos = MILLI;

    @BeforeEach
    void everyHostHasReportedAndAnswered() {
        for (int number = 0; number < HOSTS; number++) {
            leadership.receive(report(number), nowNanos);
        }
        List<HostOrder> looks = leadership.dueOrders(nowNanos);
        assertThat(looks).hasSize(HOSTS);
        nowNanos += MILLI;
        looks.forEach(look -> leadership.answered(state, look, nowNanos - MILLI, NOTHING, nowNanos));
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        assertThat(leadership.dueOrders(nowNanos)).isEmpty();
        nowNanos += MILLI;
    }

    private void commitNext() {
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        batch.forEach(state::apply);
        if (!batch.isEmpty()) {
            leadership.committed(state, batch, nowNanos);
        }
    }

    @Test
    void whatALookThatIsOutBringsAfterTheHostLeftIsWaitedFor() {
        RunName run = startOne("a");
        HostOrder look = startedAndLookedAt();
        leadership.leave(look.host().id(), nowNanos);
        nowNanos += 1_600 * MILLI;
        leadership.visitAll();
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        HostAnswer listing = new HostAnswer.Listing(2_600, List.of(), List.of(new ListedEnd(1, run, RunEnd.DONE, "")));
        leadership.answered(state, look, nowNanos - 1_600 * MILLI, listing, nowNanos);
        assertThat(leadership.nextBatch(state, nowNanos, 0)).containsExactly(new End(run, RunEnd.DONE, ""));
    }

    @Test
    void aStartWhoseHostTurnsOutGoneWhileItIsLoggedEnds() {
        submit("a");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        ActiveRun run = ((Start) batch.getFirst()).run();
        HostOrder look = new HostOrder.Hold(run.host(), 1, 0, 0, 0);
        leadership.answered(state, look, nowNanos, new HostAnswer.OtherLife(), nowNanos);
        leadership.dueOrders(nowNanos);
        batch.forEach(state::apply);
        leadership.committed(state, batch, nowNanos);
        for (int tick = 0; tick < 600; tick++) {
            nowNanos += 100 * MILLI;
            leadership.visitAll();
            leadership.wantPlan();
            commitNext();
            leadership.dueOrders(nowNanos);
        }
        assertThat(state.isActive(run.run()))
                .as("still at work on a host that is gone, after a minute")
                .isFalse();
    }

    @Test
    void doneIsNotForgottenByItsHostBeforeItIsLoggedWhenTheLossIsLoggedFirst() {
        RunName run = startOne("a");
        HostOrder look = startedAndLookedAt();
        leadership.answered(state, look, nowNanos, new HostAnswer.Silent("timeout"), nowNanos);
        nowNanos += 7_500 * MILLI;
        leadership.visitAll();
        List<WorkflowCommand> lost = leadership.nextBatch(state, nowNanos, 0);
        assertThat(lost).containsExactly(new End(run, RunEnd.HOST_LOST, ""));
        HostOrder next = leadership.dueOrders(nowNanos).stream()
                .filter(order -> order.host().equals(look.host()))
                .findFirst()
                .orElseThrow();
        nowNanos += 5 * MILLI;
        HostAnswer listing = new HostAnswer.Listing(8_600, List.of(), List.of(new ListedEnd(1, run, RunEnd.DONE, "")));
        leadership.answered(state, next, nowNanos - MILLI, listing, nowNanos);
        lost.forEach(state::apply);
        leadership.committed(state, lost, nowNanos);
        nowNanos += 200 * MILLI;
        assertThat(leadership.nextBatch(state, nowNanos, 0)).contains(new End(run, RunEnd.DONE, ""));
        assertThat(leadership.dueOrders(nowNanos))
                .noneMatch(order -> order instanceof HostOrder.Hold hold && hold.noted() >= 1);
        List<WorkflowCommand> done = List.of(new End(run, RunEnd.DONE, ""));
        done.forEach(state::apply);
        leadership.committed(state, done, nowNanos);
        assertThat(leadership.dueOrders(nowNanos))
                .as("a look that lets the host forget the end")
                .anyMatch(order -> order instanceof HostOrder.Hold hold && hold.noted() == 1);
    }

    /** Has the host confirm the start of the only run, and returns the look that follows. */
    private HostOrder startedAndLookedAt() {
        List<HostOrder> starts = leadership.dueOrders(nowNanos);
        assertThat(starts).hasSize(1);
        leadership.answered(state, starts.getFirst(), nowNanos, new HostAnswer.Accepted(1_001), nowNanos);
        nowNanos += QUICK_LOOK_PAUSE_MILLIS * MILLI;
        List<HostOrder> looks = leadership.dueOrders(nowNanos);
        assertThat(looks).hasSize(1);
        nowNanos += MILLI;
        return looks.getFirst();
    }

    /** Has one task started up to the point where its order is due. */
    private RunName startOne(String jobId) {
        submit(jobId);
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        batch.forEach(state::apply);
        leadership.committed(state, batch, nowNanos);
        return ((Start) batch.getFirst()).run().run();
    }

    private void submit(String jobId) {
        StepSpecification step = new StepSpecification(
                1, Resources.of(1_000, 100, 0), 1_000, List.of(), Set.of(), StepLocality.ANYWHERE, StepSharing.UNTOLD);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        state.apply(
                new WorkflowCommand.Submit(jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0));
        leadership.wantPlan();
    }

    private static HostReport report(int number) {
        HostAddress address = new HostAddress("h" + number, "10.0.0." + number + ":80");
        return new HostReport(address, "pool", "fd", Resources.of(4_000, 4_000, 0), "a", "r1", false, 1_000, 1);
    }
}
