package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.queue.QueueTerms;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.domain.workflow.HostAllocations;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.JobTerms;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.SubmitJob;
import org.nettlering.domain.workflow.WorkflowState;
import org.nettlering.domain.workflow.host.HostHeartbeat;
import org.nettlering.domain.workflow.placement.FreeCapacity;
import org.nettlering.domain.workflow.placement.StartAdmission;
import org.nettlering.domain.workflow.runtime.RunTimeModel;

/** A pool that ends ten processors' worth of work, in tasks of one processor and one second. */
class InfeasibleJobsTest {
    private static final int RATE_SECONDS = 10;
    private static final int TASKS_PER_SECOND = 10;

    private final WorkflowState state = WorkflowState.empty();
    private final RunTimeModel runTimes = RunTimeModel.empty();
    private final LoopFailures failures =
            new LoopFailures(LoopMetrics.unexported(ManualTime.startingAt(Instant.EPOCH)));
    private final JobAdmission admission = new JobAdmission(
            new StartableHosts(Map.of(), new LoopCounters(), failures), runTimes, WorkflowOptions.NONE, 0);
    private long nowNanos;

    @Test
    void jobsOfABurstAreAdmittedUntilTheRestCouldNotEndInTime() {
        measureRate();
        int admitted = 0;
        while (decide("job-" + admitted).isEmpty() && admitted < 100) {
            state.apply(submission("job-" + admitted));
            admitted++;
        }
        // Each job has ten tasks, one second of the pool; its result is of use for 5.25 s at most.
        assertThat(admitted).isBetween(4, 6);
    }

    @Test
    void nothingIsRejectedWhileAHostHasRoom() {
        measureRate();
        submitBurst();
        assertThat(decide("late", freeCapacity(1_000))).isEmpty();
        assertThat(decide("late", freeCapacity(999))).isPresent();
    }

    @Test
    void callerThatWasSentAwayIsAdmittedWhenItReturnsInTheSameBurst() {
        measureRate();
        submitBurst();
        assertThat(decide("returning")).isPresent();
        nowNanos += Duration.ofSeconds(5).toNanos();
        submitBurst();
        assertThat(decide("returning")).isEmpty();
        assertThat(decide("new")).isPresent();
    }

    @Test
    void leaderThatHasMeasuredNothingAdmitsEveryJob() {
        submitBurst();
        assertThat(decide("a")).isEmpty();
    }

    private void measureRate() {
        state.apply(submission("measured"));
        StepProgress step = state.step(new StepId("measured", 0, 0)).orElseThrow();
        for (int task = 0; task < RATE_SECONDS * TASKS_PER_SECOND; task++) {
            nowNanos += Duration.ofSeconds(1).toNanos() / TASKS_PER_SECOND;
            admission.taskDone(step, 1_000, nowNanos);
        }
        state.apply(new CancelJob("measured"));
    }

    private void submitBurst() {
        for (int number = 0; number < 50; number++) {
            state.apply(submission("burst-" + nowNanos + "-" + number));
        }
    }

    private Optional<Duration> decide(String jobId, FreeCapacity... capacities) {
        return admission.retryDelayIfInfeasible(state, submission(jobId), List.of(capacities), nowNanos);
    }

    private static SubmitJob submission(String jobId) {
        StepSpecification step = new StepSpecification(
                10,
                Resources.of(1_000, 100, 0),
                1_000,
                List.of(),
                Set.of(),
                PlacementConstraints.NONE,
                StepServiceLevel.UNSPECIFIED);
        JobTerms terms = new JobTerms("queue", "pool", new QueueTerms(0, 2, 1.5, 250, false));
        return new SubmitJob(jobId, terms, new JobDefinition("work", List.of(step), Recurrence.ONCE), 0);
    }

    private static FreeCapacity freeCapacity(long millicores) {
        HostIncarnation host = new HostIncarnation("h", "10.0.0.1:80");
        HostHeartbeat heartbeat =
                new HostHeartbeat(host, "pool", "fd", Resources.of(millicores, 8_000, 0), "a", "r1", false, 0, 1);
        return FreeCapacity.of(heartbeat, HostAllocations.empty(host), 0, List.of(), StartAdmission.ALL);
    }
}
