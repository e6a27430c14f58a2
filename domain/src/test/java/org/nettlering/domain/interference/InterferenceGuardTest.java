package org.nettlering.domain.interference;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.configuration.SiteConfiguration;
import org.nettlering.domain.interference.WorkerMeasurement.MeasuredTask;
import org.nettlering.domain.placement.TestJobs;
import org.nettlering.domain.task.JobSpecification;
import org.nettlering.domain.task.Task;
import org.nettlering.domain.task.TaskCommand;
import org.nettlering.domain.task.TaskState;

class InterferenceGuardTest {
    private static final int DISTURBED = 1_500;
    private static final int CALM = 1_010;

    private final SiteConfiguration configuration = TestJobs.configuration(1, TestJobs.POWER_CAP_MILLIWATTS);
    private final TaskState state = TaskState.empty();
    private final InterferenceGuard guard = InterferenceGuard.of(InterferenceModel.empty());
    private long nowMillis = 1_000_000;

    @BeforeEach
    void placeAServiceAndABatchTask() {
        apply(new TaskCommand.RegisterWorker(
                nowMillis, "worker-1", 1, TestJobs.WORKER_CAPACITY, "rack", "domain", 0, List.of()));
        place(TestJobs.service("service", "portfolio", 2_000));
        place(TestJobs.job("bulk", "bulk", 2_000));
    }

    @Test
    void aDisturbedServiceHasItsNeighborThrottledBeforeItIsEvicted() {
        assertThat(samplesUntilAStep(DISTURBED)).isInstanceOf(TaskCommand.Throttle.class);
        assertThat(task().requestedSpeedPercent()).isEqualTo(50);
        assertThat(samplesUntilAStep(DISTURBED)).isInstanceOf(TaskCommand.Throttle.class);
        assertThat(task().requestedSpeedPercent()).isEqualTo(25);
        assertThat(samplesUntilAStep(DISTURBED)).isInstanceOf(TaskCommand.Evict.class);
    }

    @Test
    void oneNoisySampleLeadsToNoStep() {
        assertThat(sample(3_000, nowMillis)).isEmpty();
        assertThat(sample(CALM, nowMillis + 1)).isEmpty();
        assertThat(sample(CALM, nowMillis + 2)).isEmpty();
    }

    @Test
    void measurementsTakenBeforeAStepTookEffectLeadToNoFurtherStep() {
        samplesUntilAStep(DISTURBED);
        long stepMillis = nowMillis;
        nowMillis += 10_000;

        for (int number = 0; number < 20; number++) {
            assertThat(sample(DISTURBED, stepMillis + number * 50L)).isEmpty();
        }

        assertThat(task().requestedSpeedPercent()).isEqualTo(50);
    }

    @Test
    void aMeasurementHeardAfterALaterOneIsIgnored() {
        sample(CALM, nowMillis + 5_000);

        for (int number = 0; number < 20; number++) {
            assertThat(sample(DISTURBED, nowMillis + number)).isEmpty();
        }
    }

    @Test
    void aStepIsTakenBackOnlyAfterALongerCalmEachTime() {
        samplesUntilAStep(DISTURBED);
        int first = samplesUntilCalm();
        guard.released("worker-1", nowMillis);
        samplesUntilAStep(DISTURBED);

        assertThat(samplesUntilCalm()).isGreaterThanOrEqualTo(2 * first - 5);
    }

    @Test
    void aTaskThatMayNotBeInterruptedIsLeftAlone() {
        apply(new TaskCommand.Cancel(nowMillis, "cancel", "bulk"));
        place(TestJobs.job("steady", "previews", 2_000));

        for (int number = 0; number < 20; number++) {
            nowMillis += 1_000;
            assertThat(sample(DISTURBED, nowMillis)).isEmpty();
        }
    }

    private TaskCommand samplesUntilAStep(int slowdown) {
        for (int number = 0; number < 50; number++) {
            nowMillis += 1_000;
            List<TaskCommand> steps = sample(slowdown, nowMillis);
            if (!steps.isEmpty()) {
                steps.forEach(this::apply);
                return steps.getFirst();
            }
        }
        throw new AssertionError("no step was taken");
    }

    private int samplesUntilCalm() {
        for (int number = 1; number < 400; number++) {
            nowMillis += 1_000;
            sample(CALM, nowMillis);
            if (guard.isCalm("worker-1")) {
                return number;
            }
        }
        throw new AssertionError("never calm");
    }

    private List<TaskCommand> sample(int slowdown, long measuredMillis) {
        guard.observe(
                "worker-1",
                new WorkerMeasurement(
                        measuredMillis,
                        List.of(new MeasuredTask("service", 1, "preview", 1_000, slowdown)),
                        List.of()));
        return guard.steps(state, configuration, nowMillis);
    }

    private Task task() {
        return state.task("bulk").orElseThrow();
    }

    private void place(JobSpecification job) {
        apply(new TaskCommand.Submit(nowMillis, "submit " + job.jobId(), job));
        apply(new TaskCommand.Start(
                nowMillis, job.jobId(), "worker-1", job.declaredResources(), job.powerMilliwatts(), 100, "test", ""));
        apply(new TaskCommand.RecordProgress(nowMillis, job.jobId(), 1, 0));
    }

    private void apply(TaskCommand command) {
        assertThat(state.apply(command, TestJobs.POWER_CAP_MILLIWATTS).message())
                .isEmpty();
    }
}
