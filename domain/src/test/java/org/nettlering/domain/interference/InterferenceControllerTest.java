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

class InterferenceControllerTest {
    private static final int HIGH_SLOWDOWN = 1_500;
    private static final int LOW_SLOWDOWN = 1_010;

    private final SiteConfiguration configuration = TestJobs.configuration(1, TestJobs.POWER_CAP_MILLIWATTS);
    private final TaskState state = TaskState.empty();
    private final InterferenceController controller = InterferenceController.of(PairwiseInterferenceModel.empty());
    private long nowMillis = 1_000_000;

    @BeforeEach
    void placeAServiceAndABatchTask() {
        apply(new TaskCommand.RegisterWorker(
                nowMillis, "worker-1", 1, TestJobs.WORKER_CAPACITY, "rack", "domain", 0, List.of()));
        place(TestJobs.service("service", "portfolio", 2_000));
        place(TestJobs.job("bulk", "bulk", 2_000));
    }

    @Test
    void aBatchTaskThatSlowsAServiceIsThrottledBeforeItIsEvicted() {
        assertThat(sampleUntilAction(HIGH_SLOWDOWN)).isInstanceOf(TaskCommand.Throttle.class);
        assertThat(task().requestedSpeedPercent()).isEqualTo(50);
        assertThat(sampleUntilAction(HIGH_SLOWDOWN)).isInstanceOf(TaskCommand.Throttle.class);
        assertThat(task().requestedSpeedPercent()).isEqualTo(25);
        assertThat(sampleUntilAction(HIGH_SLOWDOWN)).isInstanceOf(TaskCommand.Evict.class);
    }

    @Test
    void aSingleHighSampleCausesNoAction() {
        assertThat(sample(3_000, nowMillis)).isEmpty();
        assertThat(sample(LOW_SLOWDOWN, nowMillis + 1)).isEmpty();
        assertThat(sample(LOW_SLOWDOWN, nowMillis + 2)).isEmpty();
    }

    @Test
    void measurementsFromBeforeAnActionTookEffectCauseNoFurtherAction() {
        sampleUntilAction(HIGH_SLOWDOWN);
        long actionMillis = nowMillis;
        nowMillis += 10_000;

        for (int number = 0; number < 20; number++) {
            assertThat(sample(HIGH_SLOWDOWN, actionMillis + number * 50L)).isEmpty();
        }

        assertThat(task().requestedSpeedPercent()).isEqualTo(50);
    }

    @Test
    void aMeasurementReceivedAfterANewerOneIsIgnored() {
        sample(LOW_SLOWDOWN, nowMillis + 5_000);

        for (int number = 0; number < 20; number++) {
            assertThat(sample(HIGH_SLOWDOWN, nowMillis + number)).isEmpty();
        }
    }

    @Test
    void theSpeedIsRaisedOnlyAfterMoreLowSamplesEachTimeTheSlowdownRecurs() {
        sampleUntilAction(HIGH_SLOWDOWN);
        int first = samplesUntilSpeedMayRise();
        controller.recordSpeedRaised("worker-1", nowMillis);
        sampleUntilAction(HIGH_SLOWDOWN);

        assertThat(samplesUntilSpeedMayRise()).isGreaterThanOrEqualTo(2 * first - 5);
    }

    @Test
    void aTaskThatMustNotBeInterruptedIsNeitherThrottledNorEvicted() {
        apply(new TaskCommand.Cancel(nowMillis, "cancel", "bulk"));
        place(TestJobs.job("steady", "previews", 2_000));

        for (int number = 0; number < 20; number++) {
            nowMillis += 1_000;
            assertThat(sample(HIGH_SLOWDOWN, nowMillis)).isEmpty();
        }
    }

    private TaskCommand sampleUntilAction(int slowdown) {
        for (int number = 0; number < 50; number++) {
            nowMillis += 1_000;
            List<TaskCommand> actions = sample(slowdown, nowMillis);
            if (!actions.isEmpty()) {
                actions.forEach(this::apply);
                return actions.getFirst();
            }
        }
        throw new AssertionError("no action was decided");
    }

    private int samplesUntilSpeedMayRise() {
        for (int number = 1; number < 400; number++) {
            nowMillis += 1_000;
            sample(LOW_SLOWDOWN, nowMillis);
            if (controller.mayRaiseSpeed("worker-1")) {
                return number;
            }
        }
        throw new AssertionError("the speed was never allowed to rise");
    }

    private List<TaskCommand> sample(int slowdown, long measuredMillis) {
        controller.recordMeasurement(
                "worker-1",
                new WorkerMeasurement(
                        measuredMillis,
                        List.of(new MeasuredTask("service", 1, "preview", 1_000, slowdown)),
                        List.of()));
        return controller.decideActions(state, configuration, nowMillis);
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
