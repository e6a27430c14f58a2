package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.run;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.ActiveRun;
import org.nettlering.domain.workflow.HostIncarnation;
import org.nettlering.domain.workflow.RunId;
import org.nettlering.domain.workflow.StepProgress;
import org.nettlering.domain.workflow.StepTrait;
import org.nettlering.domain.workflow.TerminalStatus;
import org.nettlering.domain.workflow.WorkflowCommand.RecordTermination;
import org.nettlering.domain.workflow.WorkflowCommand.StartRun;
import org.nettlering.domain.workflow.WorkflowState;

class StepWaitsTest {
    private static final long MAX_WAIT_NANOS = StepWaits.MAX_WAIT.toNanos();

    private static final RunId RUN = run("a", 0, 0, 1);

    private final WorkflowState state = WorkflowState.empty();

    private final StepWaits waits = StepWaits.create();

    @Test
    void bestEffortStepIsOverdueAfterTheLongestWait() {
        state.apply(job("a", step(2, List.of(), StepTrait.BEST_EFFORT)));
        waits.update(state.pendingSteps(), 0);
        waits.update(state.pendingSteps(), MAX_WAIT_NANOS);
        assertThat(waits.isOverdue(pendingStep(), MAX_WAIT_NANOS - 1)).isFalse();
        assertThat(waits.isOverdue(pendingStep(), MAX_WAIT_NANOS)).isTrue();
    }

    @Test
    void waitStartsAnewAfterARunOfTheJob() {
        state.apply(job("a", step(2, List.of(), StepTrait.BEST_EFFORT)));
        waits.update(state.pendingSteps(), 0);
        state.apply(new StartRun(new ActiveRun(RUN, new HostIncarnation("h", "10.0.0.1:80"), "")));
        waits.update(state.pendingSteps(), MAX_WAIT_NANOS);
        assertThat(waits.isOverdue(pendingStep(), MAX_WAIT_NANOS)).isFalse();
        state.apply(new RecordTermination(RUN, TerminalStatus.STOPPED, ""));
        waits.update(state.pendingSteps(), MAX_WAIT_NANOS);
        assertThat(waits.isOverdue(pendingStep(), 2 * MAX_WAIT_NANOS - 1)).isFalse();
        assertThat(waits.isOverdue(pendingStep(), 2 * MAX_WAIT_NANOS)).isTrue();
    }

    @Test
    void aRunOfOneJobEndsTheWaitsOfAllItsStepsAndOfNoOtherJob() {
        state.apply(job("a", step(2, List.of(), StepTrait.BEST_EFFORT), step(1, List.of(), StepTrait.BEST_EFFORT)));
        state.apply(job("b", step(2, List.of(), StepTrait.BEST_EFFORT)));
        waits.update(state.pendingSteps(), 0);
        state.apply(new StartRun(new ActiveRun(RUN, new HostIncarnation("h", "10.0.0.1:80"), "")));
        waits.update(state.pendingSteps(), MAX_WAIT_NANOS);
        assertThat(state.pendingSteps()).hasSize(3);
        assertThat(state.pendingSteps().stream()
                        .filter(step -> waits.isOverdue(step, MAX_WAIT_NANOS))
                        .map(step -> step.job().id()))
                .containsExactly("b");
    }

    /** Guards against tasks that last and are not started again after a loss, as others of their job run. */
    @Test
    void longRunningBestEffortStepIsOverdueAlthoughOthersOfItsTasksRun() {
        state.apply(job("a", step(2, List.of(), StepTrait.BEST_EFFORT, StepTrait.LONG_RUNNING)));
        state.apply(new StartRun(new ActiveRun(RUN, new HostIncarnation("h", "10.0.0.1:80"), "")));
        waits.update(state.pendingSteps(), 0);
        waits.update(state.pendingSteps(), MAX_WAIT_NANOS);
        assertThat(waits.isOverdue(pendingStep(), MAX_WAIT_NANOS)).isTrue();
    }

    @Test
    void stepWithReservedProcessorsIsNeverOverdue() {
        state.apply(job("a", step(2, List.of())));
        waits.update(state.pendingSteps(), 0);
        waits.update(state.pendingSteps(), MAX_WAIT_NANOS);
        assertThat(waits.isOverdue(pendingStep(), MAX_WAIT_NANOS)).isFalse();
    }

    private StepProgress pendingStep() {
        return state.pendingSteps().iterator().next();
    }
}
