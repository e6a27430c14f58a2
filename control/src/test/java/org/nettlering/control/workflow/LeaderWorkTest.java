package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.RunEnd;
import org.nettlering.domain.workflow.RunName;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.End;
import org.nettlering.domain.workflow.WorkflowCommand.Start;
import org.nettlering.domain.workflow.host.HostAnswer;
import org.nettlering.domain.workflow.host.HostAnswer.ListedEnd;
import org.nettlering.domain.workflow.host.HostAnswer.ListedRun;
import org.nettlering.domain.workflow.host.HostOrder;

/** How much work an event makes for the leader, whatever the number of hosts. */
class LeaderWorkTest extends LeaderScene {
    private static final int HOSTS = 100;
    private static final long LOOK_PAUSE_MILLIS = 25;

    LeaderWorkTest() {
        super(HOSTS);
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

    @Test
    void startsDoNotWaitUntilNoMoreEndsCome() {
        RunName run = startOne("a");
        HostOrder look = startedAndLookedAt();
        ListedEnd end = new ListedEnd(1, run, RunEnd.DONE, "");
        HostAnswer listing = new HostAnswer.Listing(1_002, List.of(), List.of(end));
        leadership.answered(state, look, nowNanos, listing, nowNanos);
        submit("b");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(2);
        assertThat(batch.getFirst()).isInstanceOf(End.class);
        assertThat(batch.getLast()).isInstanceOf(Start.class);
    }

    @Test
    void aStartOfAJobThatEndsInTheSameBatchIsNotOrdered() {
        RunName run = startOne("a");
        startedAndLookedAt();
        ActiveRun next = new ActiveRun(new RunName(run.task(), 2), report(1).host(), "");
        List<WorkflowCommand> batch = List.of(new End(run, RunEnd.DONE, ""), new Start(next));
        batch.forEach(state::apply);
        leadership.committed(state, batch, nowNanos);
        assertThat(state.job("a").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        assertThat(leadership.dueOrders(nowNanos)).noneMatch(HostOrder.Start.class::isInstance);
    }

    @Test
    void aPlanMeasuresTheRoomOfThoseHostsAloneThatChanged() {
        startOne("a");
        long before = leadership.work().rooms();
        startOne("b");
        assertThat(leadership.work().rooms() - before).isLessThanOrEqualTo(2);
    }

    @Test
    void aPlanWithNothingToPlaceMeasuresNoRoom() {
        long before = leadership.work().rooms();
        leadership.wantPlan();
        leadership.nextBatch(state, nowNanos, 0);
        assertThat(leadership.work().rooms()).isEqualTo(before);
    }

    @Test
    void aJobWhoseTasksAllEndIsAcceptedWithoutALookAtTheOthers() {
        submit("a");
        submit("b");
        JobDefinition definition = state.job("a").orElseThrow().definition();
        JobTerms terms = state.job("a").orElseThrow().terms();
        assertThat(leadership.rejection(state, terms, definition)).isEmpty();
        assertThat(leadership.work().jobs()).isZero();
    }
}
