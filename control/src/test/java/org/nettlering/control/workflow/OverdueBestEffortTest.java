package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TaskId;
import org.nettlering.domain.workflow.WorkflowCommand;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.colocation.ColocationController;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;
import org.nettlering.domain.workflow.host.HostResponse.ReportedRun;
import org.nettlering.domain.workflow.placement.StepWaits;

/** How the leader treats best-effort jobs while the services on every host are at their latency targets. */
class OverdueBestEffortTest extends LeaderFixture {
    private static final int LATENCY_TARGET_MILLIS = 20;

    OverdueBestEffortTest() {
        super(1);
    }

    @Test
    void aJobThatIsHeldBackOnEveryHostStartsThrottledAfterTheLongestWait() {
        runServiceAtItsTarget();
        submit("filling", Set.of(StepTrait.BEST_EFFORT), new StepServiceLevel("filling", 0, -1));
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();

        nowNanos += StepWaits.MAX_WAIT.toNanos();
        leadership.requestPlan();
        RunId run = commitOnlyStart();
        assertThat(run.task().jobId()).isEqualTo("filling");
        HostCommand start = onlyCommand(HostCommand.Start.class);
        leadership.handleResponse(state, start, nowNanos, new HostResponse.Accepted(3_000), nowNanos);
        HostCommand.Throttle throttle = (HostCommand.Throttle) onlyCommand(HostCommand.Throttle.class);
        assertThat(throttle.run()).isEqualTo(run);
        assertThat(throttle.speedPercent()).isEqualTo(ColocationController.MIN_SPEED_PERCENT);
    }

    @Test
    void aJobThatRanMeanwhileWaitsAnew() {
        runServiceAtItsTarget();
        submit("filling", Set.of(StepTrait.BEST_EFFORT), new StepServiceLevel("filling", 0, -1));
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();

        // The leader finds that no host has this run, and ends it.
        RunId run = new RunId(TaskId.of("filling", 0, 0, 0), 1);
        state.apply(new StartRun(new ActiveRun(run, new HostIncarnation("other", "10.0.0.9:80"), "")));
        nowNanos += StepWaits.MAX_WAIT.toNanos();
        leadership.requestPlan();
        List<WorkflowCommand> terminations = leadership.nextBatch(state, nowNanos, 0);
        assertThat(terminations).singleElement().isInstanceOf(RecordTermination.class);
        terminations.forEach(state::apply);
        leadership.batchCommitted(state, terminations, nowNanos);

        leadership.requestPlan();
        assertThat(leadership.nextBatch(state, nowNanos, 0)).isEmpty();
    }

    private void runServiceAtItsTarget() {
        submit("service", Set.of(StepTrait.LONG_RUNNING), new StepServiceLevel("service", LATENCY_TARGET_MILLIS, 0));
        RunId run = commitOnlyStart();
        HostCommand poll = acceptStartAndGetNextPoll();
        HostResponse atTarget = new HostResponse.PollResult(
                2_000, List.of(new ReportedRun(run, "", 100, LATENCY_TARGET_MILLIS)), List.of());
        leadership.handleResponse(state, poll, nowNanos - NANOS_PER_MILLI, atTarget, nowNanos);
    }

    private RunId commitOnlyStart() {
        List<WorkflowCommand> batch = leadership.nextBatch(state, nowNanos, 0);
        assertThat(batch).hasSize(1);
        batch.forEach(state::apply);
        leadership.batchCommitted(state, batch, nowNanos);
        return ((StartRun) batch.getFirst()).run().run();
    }

    private HostCommand onlyCommand(Class<? extends HostCommand> type) {
        List<HostCommand> commands = leadership.dueCommands(nowNanos).stream()
                .filter(type::isInstance)
                .toList();
        assertThat(commands).hasSize(1);
        return commands.getFirst();
    }

    private void submit(String jobId, Set<StepTrait> traits, StepServiceLevel serviceLevel) {
        StepSpecification step = new StepSpecification(
                1, Resources.of(1_000, 100, 0), 1_000, List.of(), traits, PlacementConstraints.NONE, serviceLevel);
        JobTerms terms = new JobTerms("q", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        state.apply(new SubmitJob(jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0));
        leadership.requestPlan();
    }
}
