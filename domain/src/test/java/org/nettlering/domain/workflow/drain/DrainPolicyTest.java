package org.nettlering.domain.workflow.drain;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

class DrainPolicyTest {
    private static final long RUN_TIME_MILLIS = 20_000;

    @Test
    void runThatEndsBeforeItsHostLeavesStays() {
        assertThat(DrainPolicy.decide(step(StepTrait.CHECKPOINTING), RUN_TIME_MILLIS, 80, 4_000))
                .isEqualTo(DrainDecision.ENDS_THERE);
    }

    @Test
    void checkpointedRunThatDoesNotEndInTimeMoves() {
        assertThat(DrainPolicy.decide(step(StepTrait.CHECKPOINTING), RUN_TIME_MILLIS, 50, 4_000))
                .isEqualTo(DrainDecision.MOVES);
    }

    @Test
    void runWithoutCheckpointIsNotStoppedForAnEstimate() {
        assertThat(DrainPolicy.decide(step(), RUN_TIME_MILLIS, 50, 4_000)).isEqualTo(DrainDecision.STAYS);
    }

    @Test
    void memberOfAGangStaysBecauseItsEndWouldBreakTheOthers() {
        assertThat(DrainPolicy.decide(step(StepTrait.CHECKPOINTING, StepTrait.GANG), RUN_TIME_MILLIS, 50, 4_000))
                .isEqualTo(DrainDecision.STAYS);
    }

    @Test
    void longRunningTaskMovesHoweverLongItsHostRuns() {
        assertThat(DrainPolicy.decide(step(StepTrait.LONG_RUNNING), RUN_TIME_MILLIS, 100, Long.MAX_VALUE))
                .isEqualTo(DrainDecision.MOVES);
    }

    @Test
    void stepMissesNoMoreTasksThanItMay() {
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(2), 1, false)).isTrue();
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(2), 2, false)).isFalse();
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(2), 2, true)).isFalse();
    }

    @Test
    void stepThatMayMissNoneLosesOneAtATimeOnlyToHostsThatLeave() {
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(0), 0, false)).isFalse();
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(0), 0, true)).isTrue();
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(0), 1, true)).isFalse();
    }

    @Test
    void stepThatNamesNoNumberMissesOneAtATime() {
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(-1), 0, false)).isTrue();
        assertThat(DrainPolicy.mayMissOneMore(stepThatMayMiss(-1), 1, false)).isFalse();
    }

    private static StepSpecification stepThatMayMiss(int tasks) {
        return step(tasks, StepTrait.LONG_RUNNING);
    }

    private static StepSpecification step(StepTrait... traits) {
        return step(-1, traits);
    }

    private static StepSpecification step(int mayMiss, StepTrait... traits) {
        return new StepSpecification(
                4,
                Resources.of(1_000, 100, 0),
                RUN_TIME_MILLIS,
                List.of(),
                Set.of(traits),
                PlacementConstraints.NONE,
                new StepServiceLevel("image", 0, mayMiss));
    }
}
