package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.StepTrait;

class StallRuleTest {
    @Test
    void aRunWithoutProgressForLongStandsStill() {
        assertThat(StallRule.isStalled(step(1, List.of()), load(100), millis(2_400)))
                .isFalse();
        assertThat(StallRule.isStalled(step(1, List.of()), load(100), millis(2_600)))
                .isTrue();
    }

    @Test
    void aRunThatWasSlowedDownDoesNotCountAsStandingStill() {
        assertThat(StallRule.isStalled(step(1, List.of()), load(5), millis(9_000)))
                .isFalse();
    }

    @Test
    void aRunThatLastsHasNoProgressToMake() {
        assertThat(StallRule.isStalled(step(1, List.of(), StepTrait.LONG_RUNNING), load(100), millis(9_000)))
                .isFalse();
    }

    private static RunLoad load(int pace) {
        return new RunLoad(run("a", 0, 0, 1), 0, pace, 40, 0, 0);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
