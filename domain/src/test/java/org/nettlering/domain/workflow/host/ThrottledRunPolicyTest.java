package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

class ThrottledRunPolicyTest {
    private static final StepSpecification WITH_CHECKPOINTS =
            step(1, List.of(), StepTrait.BEST_EFFORT, StepTrait.CHECKPOINTING);

    private static final StepSpecification WITHOUT_CHECKPOINTS = step(1, List.of(), StepTrait.BEST_EFFORT);

    @Test
    void runThrottledForLongIsMigrated() {
        assertThat(shouldMigrate(WITH_CHECKPOINTS, 20, 60, 800)).isFalse();
        assertThat(shouldMigrate(WITH_CHECKPOINTS, 20, 60, 1_000)).isTrue();
    }

    @Test
    void slightlyThrottledRunIsNotMigrated() {
        assertThat(shouldMigrate(WITH_CHECKPOINTS, 80, 60, 5_000)).isFalse();
    }

    @Test
    void runThatWouldLoseMostOfItsProgressIsNotMigrated() {
        assertThat(shouldMigrate(WITHOUT_CHECKPOINTS, 5, 70, 5_000)).isFalse();
        assertThat(shouldMigrate(WITHOUT_CHECKPOINTS, 40, 30, 5_000)).isFalse();
    }

    @Test
    void runWithoutCheckpointsIsMigratedIfItBarelyMakesProgress() {
        assertThat(shouldMigrate(WITHOUT_CHECKPOINTS, 5, 3, 1_000)).isTrue();
        assertThat(shouldMigrate(WITHOUT_CHECKPOINTS, 5, 30, 1_000)).isFalse();
        assertThat(shouldMigrate(WITHOUT_CHECKPOINTS, 5, 30, 2_100)).isTrue();
    }

    @Test
    void onlyBestEffortRunsAreMigrated() {
        assertThat(shouldMigrate(step(1, List.of(), StepTrait.CHECKPOINTING), 5, 3, 5_000))
                .isFalse();
    }

    private static boolean shouldMigrate(
            StepSpecification step, int speedPercent, int progressPercent, long throttledMillis) {
        RunUsage usage = new RunUsage(run("a", 0, 0, 1), 0, speedPercent, progressPercent, 0, 0, 0);
        return ThrottledRunPolicy.shouldMigrate(
                step, usage, Duration.ofMillis(throttledMillis).toNanos());
    }
}
