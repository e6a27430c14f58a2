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
import org.nettlering.domain.workflow.HostAddress;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.StepLocality;
import org.nettlering.domain.workflow.StepSharing;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.Start;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostAnswer;
import org.nettlering.domain.workflow.host.HostAnswer.ListedRun;
import org.nettlering.domain.workflow.host.HostLimits;
import org.nettlering.domain.workflow.host.HostOrder;
import org.nettlering.domain.workflow.host.HostReport;

/** How much work an event makes for the leader, whatever the number of hosts. */
class LeaderWorkTest {
    private static final int HOSTS = 100;
    private static final long MILLI = 1_000_000;
    private static final long LOOK_PAUSE_MILLIS = 25;
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

    @Test
    void anAnswerOfOneHostHasThatHostAloneLookedAt() {
        RunName run = startOne("a");
        List<HostOrder> orders = leadership.dueOrders(nowNanos);
        long before = leadership.work().visits();
        nowNanos += MILLI;
        leadership.answered(state, orders.getFirst(), nowNanos - MILLI, new HostAnswer.Accepted(1_001), nowNanos);
        leadership.nextBatch(state, nowNanos, 0);
        leadership.dueOrders(nowNanos);
        assertThat(state.isActive(run)).isTrue();
        assertThat(leadership.work().visits() - before).isLessThanOrEqualTo(2);
    }

    @Test
    void aLookThatHadToWaitGoesOutInTimeWithoutAnythingElseOnItsHost() {
        RunName run = startOne("a");
        HostOrder look = startedAndLookedAt();
        ListedRun listed = new ListedRun(run, "", 1, 0);
        HostAnswer listing = new HostAnswer.Listing(1_002, List.of(listed), List.of());
        leadership.answered(state, look, nowNanos - MILLI, listing, nowNanos);
        assertThat(leadership.dueOrders(nowNanos)).isEmpty();
        assertThat(leadership.dueOrders(nowNanos + LOOK_PAUSE_MILLIS * MILLI)).hasSize(1);
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
