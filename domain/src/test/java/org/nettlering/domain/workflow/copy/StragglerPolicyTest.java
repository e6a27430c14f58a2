package org.nettlering.domain.workflow.copy;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.end;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.start;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.StepId;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowState;

/** The siblings that have ended took a second each. */
class StragglerPolicyTest {
    private static final int SIBLINGS = 6;
    private static final long SIBLING_MILLIS = 1_000;

    @Test
    void runThatTakesAsLongAsItsSiblingsDoesNotStraggle() {
        assertThat(isStraggling(1_400, 70)).isFalse();
    }

    @Test
    void slowRunStragglesIfAFreshStartWouldEndBeforeIt() {
        assertThat(isStraggling(1_600, 40)).isTrue();
    }

    @Test
    void slowRunThatIsNearlyDoneDoesNotStraggle() {
        assertThat(isStraggling(3_000, 90)).isFalse();
    }

    @Test
    void runWithoutProgressStragglesAfterHalfAsLongAgainAsItsSiblings() {
        assertThat(isStraggling(1_500, 0)).isTrue();
        assertThat(isStraggling(1_499, 0)).isFalse();
    }

    @Test
    void nothingStragglesBeforeSiblingsHaveEnded() {
        assertThat(StragglerPolicy.isStraggling(1, SIBLING_MILLIS, 9_000, 0)).isFalse();
    }

    @Test
    void gangsAndLongRunningTasksAreNeverCopied() {
        assertThat(StragglerPolicy.allowsCopies(step(2, List.of(), StepTrait.SPECULATIVE)))
                .isTrue();
        assertThat(StragglerPolicy.allowsCopies(step(2, List.of()))).isFalse();
        assertThat(StragglerPolicy.allowsCopies(step(2, List.of(), StepTrait.SPECULATIVE, StepTrait.GANG)))
                .isFalse();
        assertThat(StragglerPolicy.allowsCopies(step(2, List.of(), StepTrait.SPECULATIVE, StepTrait.LONG_RUNNING)))
                .isFalse();
    }

    @Test
    void jobWaitsForTheLastQuarterOfAStepOnceAllItsTasksHaveRuns() {
        WorkflowState state = WorkflowState.empty();
        state.apply(job("a", step(4, List.of(), StepTrait.SPECULATIVE)));
        for (int index = 0; index < 3; index++) {
            state.apply(start("a", 0, index, 1));
            state.apply(end("a", 0, index, 1, TerminalStatus.DONE));
        }
        assertThat(isWaitedFor(state)).isFalse();
        state.apply(start("a", 0, 3, 1));
        assertThat(isWaitedFor(state)).isTrue();
    }

    private static boolean isWaitedFor(WorkflowState state) {
        return StragglerPolicy.isWaitedFor(state.step(new StepId("a", 0, 0)).orElseThrow());
    }

    private static boolean isStraggling(long elapsedMillis, int progressPercent) {
        return StragglerPolicy.isStraggling(SIBLINGS, SIBLING_MILLIS, elapsedMillis, progressPercent);
    }
}
