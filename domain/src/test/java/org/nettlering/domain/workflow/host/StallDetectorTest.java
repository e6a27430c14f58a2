package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.StepTrait;

class StallDetectorTest {
    @Test
    void runWithoutProgressForLongIsStalled() {
        assertThat(StallDetector.isStalled(step(1, List.of()), usage(100), millis(2_400)))
                .isFalse();
        assertThat(StallDetector.isStalled(step(1, List.of()), usage(100), millis(2_600)))
                .isTrue();
    }

    @Test
    void throttledRunIsNotStalled() {
        assertThat(StallDetector.isStalled(step(1, List.of()), usage(5), millis(9_000)))
                .isFalse();
    }

    @Test
    void longRunningRunIsNeverStalled() {
        assertThat(StallDetector.isStalled(step(1, List.of(), StepTrait.LONG_RUNNING), usage(100), millis(9_000)))
                .isFalse();
    }

    private static RunUsage usage(int speedPercent) {
        return new RunUsage(run("a", 0, 0, 1), 0, speedPercent, 40, 0, 0, 0);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
