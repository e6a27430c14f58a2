package org.nettlering.domain.workflow.host;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

class HoldBackRuleTest {
    private static final StepSpecification SAVED = step(1, List.of(), StepTrait.FILLS, StepTrait.CHECKPOINTING);

    private static final StepSpecification UNSAVED = step(1, List.of(), StepTrait.FILLS);

    @Test
    void aRunThatIsSlowForAWhileIsHeldBack() {
        assertThat(isHeldBack(SAVED, 20, 60, 800)).isFalse();
        assertThat(isHeldBack(SAVED, 20, 60, 1_000)).isTrue();
    }

    @Test
    void aRunThatIsSlowedDownALittleIsLeftAlone() {
        assertThat(isHeldBack(SAVED, 80, 60, 5_000)).isFalse();
    }

    @Test
    void aRunThatWouldLoseMostOfItsWorkIsLeftWhereItIs() {
        assertThat(isHeldBack(UNSAVED, 5, 70, 5_000)).isFalse();
        assertThat(isHeldBack(UNSAVED, 40, 30, 5_000)).isFalse();
    }

    @Test
    void aRunWhoseWorkIsNotSavedIsMovedIfItHardlyGetsOn() {
        assertThat(isHeldBack(UNSAVED, 5, 3, 1_000)).isTrue();
        assertThat(isHeldBack(UNSAVED, 5, 30, 1_000)).isFalse();
        assertThat(isHeldBack(UNSAVED, 5, 30, 2_100)).isTrue();
    }

    @Test
    void onlyRunsThatFillAreMoved() {
        assertThat(isHeldBack(step(1, List.of(), StepTrait.CHECKPOINTING), 5, 3, 5_000))
                .isFalse();
    }

    private static boolean isHeldBack(StepSpecification step, int pace, int percent, long slowMillis) {
        RunLoad load = new RunLoad(run("a", 0, 0, 1), 0, pace, percent, 0, 0);
        return HoldBackRule.isHeldBack(step, load, Duration.ofMillis(slowMillis).toNanos());
    }
}
