package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobPhase;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.host.HostResponse.ReportedTermination;

/** Checks that the work of the leader for one event does not grow with the number of hosts and jobs. */
class LeaderWorkTest extends LeaderFixture {
    private static final int HOSTS = 100;

    /** The minimum time between the sending of a poll that waits for a termination and of the next poll. */
    private static final long MIN_POLL_INTERVAL_MILLIS = 25;

    LeaderWorkTest() {
        super(HOSTS);
    }

    @Test
    void aResponseCausesVisitsToItsHostOnly() {
        RunId run = startRun("a");
        List<HostCommand> commands = leadership.dueCommands(nowNanos);
        long before = leadership.counters().hostVisits();
        nowNanos += NANOS_PER_MILLI;
        leadership.handleResponse(
                state, commands.getFirst(), nowNanos - NANOS_PER_MILLI, new HostResponse.Accepted(1_001), nowNanos);
        leadership.nextBatch(state, nowNanos, 0);
        leadership.dueCommands(nowNanos);
        assertThat(state.isActive(run)).isTrue();
        // One visit to check for terminations and one to check for due commands.
        assertThat(leadership.counters().hostVisits() - before).isLessThanOrEqualTo(2);
    }

    @Test
    void aDelayedPollIsSentWhenDueWithoutOtherEventsOnItsHost() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        ReportedRun reportedRun = new ReportedRun(run, "", 1, 0);
        HostResponse pollResult = new HostResponse.PollResult(1_002, List.of(reportedRun), List.of());
        leadership.handleResponse(state, poll, nowNanos - NANOS_PER_MILLI, pollResult, nowNanos);
        assertThat(leadership.dueCommands(nowNanos)).isEmpty();
        assertThat(leadership.dueCommands(nowNanos + MIN_POLL_INTERVAL_MILLIS * NANOS_PER_MILLI))
                .hasSize(1);
    }

    @Test
    void startsAreBatchedTogetherWithTerminations() {
        RunId run = startRun("a");
        HostCommand poll = acceptStartAndGetNextPoll();
        ReportedTermination termination = new ReportedTermination(1, run, TerminalStatus.DONE, "");
        HostResponse pollResult = new HostResponse.PollResult(1_002, List.of(), List.of(termination));
        leadership.handleResponse(state, poll, nowNanos, pollResult, nowNanos);
        submit("b");
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(2);
        assertThat(batch.getFirst()).isInstanceOf(RecordTermination.class);
        assertThat(batch.getLast()).isInstanceOf(StartRun.class);
    }

    @Test
    void noStartCommandIsSentWhenTheJobCompletesInTheSameBatch() {
        RunId run = startRun("a");
        acceptStartAndGetNextPoll();
        // The job has a single task, so the termination completes it and the second run of the task is not needed.
        ActiveRun next = new ActiveRun(new RunId(run.task(), 2), heartbeat(1).host(), "");
        List<WorkflowCommand> batch = List.of(new RecordTermination(run, TerminalStatus.DONE, ""), new StartRun(next));
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
        assertThat(state.job("a").orElseThrow().phase()).isEqualTo(JobPhase.COMPLETED);
        assertThat(leadership.dueCommands(nowNanos)).noneMatch(HostCommand.Start.class::isInstance);
    }

    @Test
    void aPlanRecomputesFreeCapacityOfChangedHostsOnly() {
        startRun("a");
        long before = leadership.counters().capacityComputations();
        startRun("b");
        assertThat(leadership.counters().capacityComputations() - before).isLessThanOrEqualTo(2);
    }

    @Test
    void aPlanWithNothingToPlaceComputesNoFreeCapacity() {
        long before = leadership.counters().capacityComputations();
        leadership.requestPlan();
        leadership.nextBatch(state, nowNanos, 0);
        assertThat(leadership.counters().capacityComputations()).isEqualTo(before);
    }

    @Test
    void aJobWithoutLongRunningTasksIsAdmitted() {
        submit("a");
        submit("b");
        JobDefinition definition = state.job("a").orElseThrow().definition();
        JobTerms terms = state.job("a").orElseThrow().terms();
        assertThat(leadership.rejectionOf(
                        state, new SubmitJob("new", terms, definition, 0), UndecidedDemand.NONE, nowNanos))
                .isEmpty();
    }

    @Test
    void finishedJobsThatAreStillShownTakeNoRoomFromNewOnes() {
        submit("first");
        JobDefinition definition = state.job("first").orElseThrow().definition();
        JobTerms terms = state.job("first").orElseThrow().terms();
        StepSpecification wide = definition.steps().getFirst();
        JobDefinition large = new JobDefinition(
                "work",
                List.of(new StepSpecification(
                        50_000,
                        wide.demand(),
                        wide.estimatedRuntimeMillis(),
                        List.of(),
                        wide.traits(),
                        wide.placementConstraints(),
                        wide.serviceLevel())),
                Recurrence.ONCE);
        for (int number = 0; number < 8; number++) {
            String id = "large-" + number;
            assertThat(leadership.rejectionOf(
                            state, new SubmitJob("new", terms, large, 0), UndecidedDemand.NONE, nowNanos))
                    .isEmpty();
            state.apply(new WorkflowCommand.SubmitJob(id, terms, large, 0));
            state.apply(new WorkflowCommand.CancelJob(id));
        }
        assertThat(state.jobs()).hasSize(9);
    }
}
