package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostTimings;

/** A leader that has received a heartbeat and a poll result from every host, as the start state of tests. */
abstract class LeaderFixture {
    static final long NANOS_PER_MILLI = 1_000_000;

    /**
     * Just above the 100 ms required between the sending of a poll that does not wait for a termination and of the next
     * poll. The first poll of a host in a term does not wait.
     */
    private static final long IMMEDIATE_POLL_INTERVAL_MILLIS = 101;

    private static final HostTimings TIMINGS =
            new HostTimings(Duration.ofSeconds(5), Duration.ofSeconds(6), Duration.ofMillis(200));
    /** All that a site can switch on. */
    private static final WorkflowOptions OPTIONS =
            new WorkflowOptions(true, true, WorkflowOptions.defaultMaxJobBytes());

    private static final HostResponse.PollResult EMPTY_POLL_RESULT =
            new HostResponse.PollResult(1_000, List.of(), List.of());

    final WorkflowState state = WorkflowState.empty();
    /** The clock of the metrics alone; the leader is told the time with each call. */
    final ManualTime metricsTime = ManualTime.startingAt(Instant.EPOCH);

    final LoopMetrics metrics = LoopMetrics.unexported(metricsTime);
    final WorkflowLeadership leadership =
            WorkflowLeadership.takeOver(state, 1, TIMINGS, OPTIONS, metrics, new LoopFailures(metrics), 0);
    private final int hostCount;

    long nowNanos = NANOS_PER_MILLI;

    LeaderFixture(int hostCount) {
        this.hostCount = hostCount;
    }

    @BeforeEach
    void connectAllHosts() {
        for (int number = 0; number < hostCount; number++) {
            leadership.receiveHeartbeat(heartbeat(number), nowNanos);
        }
        List<HostCommand> polls = leadership.dueCommands(nowNanos);
        assertThat(polls).hasSize(hostCount);
        nowNanos += NANOS_PER_MILLI;
        polls.forEach(poll ->
                leadership.handleResponse(state, poll, nowNanos - NANOS_PER_MILLI, EMPTY_POLL_RESULT, nowNanos));
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
        assertThat(leadership.dueCommands(nowNanos)).isEmpty();
        nowNanos += NANOS_PER_MILLI;
    }

    /**
     * Lets the host accept the start of the only run, and returns the next poll of that host, which waits for a
     * termination.
     */
    final HostCommand acceptStartAndGetNextPoll() {
        List<HostCommand> starts = leadership.dueCommands(nowNanos);
        assertThat(starts).hasSize(1);
        leadership.handleResponse(state, starts.getFirst(), nowNanos, new HostResponse.Accepted(1_001), nowNanos);
        nowNanos += IMMEDIATE_POLL_INTERVAL_MILLIS * NANOS_PER_MILLI;
        List<HostCommand> polls = leadership.dueCommands(nowNanos);
        assertThat(polls).hasSize(1);
        nowNanos += NANOS_PER_MILLI;
        return polls.getFirst();
    }

    /** Submits a job and commits the start of its only task; the start command is due afterwards. */
    final RunId startRun(String jobId) {
        submit(jobId);
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
        return ((StartRun) batch.getFirst()).run().run();
    }

    /** Applies the submission of a job with one step of one task, and requests a plan. */
    final void submit(String jobId) {
        submit(jobId, Set.of());
    }

    /** Like {@link #submit}, with a task that lasts. */
    final void submitLasting(String jobId) {
        submit(jobId, Set.of(StepTrait.LONG_RUNNING));
    }

    private void submit(String jobId, Set<StepTrait> traits) {
        StepSpecification step = new StepSpecification(
                1,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                traits,
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        state.apply(new WorkflowCommand.SubmitJob(
                jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0));
        leadership.requestPlan();
    }

    static HostHeartbeat heartbeat(int number) {
        return heartbeat(number, 1);
    }

    static HostHeartbeat heartbeat(int number, long sequence) {
        HostIncarnation incarnation = new HostIncarnation("h" + number, "10.0.0." + number + ":80");
        return new HostHeartbeat(
                incarnation, "pool", "fd", Resources.of(4_000, 4_000, 0), "a", "r1", false, 1_000, sequence);
    }
}
