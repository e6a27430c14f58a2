package org.nettlering.domain.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.job;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.WorkflowCommand.CancelJob;
import org.nettlering.domain.workflow.WorkflowCommand.RemoveJob;

class EarlyCancellationTest {
    private final WorkflowState state = WorkflowState.empty();

    @Test
    void aSubmissionThatFollowsTheCancellationHasNoEffect() {
        cancel("a");
        assertThat(state.apply(job("a", step(2, List.of())))).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.pendingSteps()).isEmpty();
        assertThat(state.submittedJob("a")).isEmpty();
        assertThat(state.unfinishedJobTasks()).isZero();
    }

    @Test
    void aSubmissionThatComesFirstInTheLogIsCancelled() {
        WorkflowCommand cancellation = EarlyCancellation.cancel(state, "a", 0);
        state.apply(job("a", step(2, List.of())));
        assertThat(state.apply(cancellation)).isEqualTo(CommandResult.APPLIED);
        assertThat(state.submittedJob("a").orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
        assertThat(state.unsubmittedJobs()).isEmpty();
    }

    @Test
    void aKnownJobIsCancelledAlone() {
        state.apply(job("a", step(2, List.of())));
        assertThat(EarlyCancellation.cancel(state, "a", 0)).isEqualTo(new CancelJob("a"));
    }

    @Test
    void theIdIsKeptInSnapshots() {
        cancel("a");
        WorkflowState restored = WorkflowState.from(state.snapshot());
        assertThat(restored.unsubmittedJobs()).containsExactly("a");
        assertThat(restored.apply(job("a", step(2, List.of())))).isEqualTo(CommandResult.UNCHANGED);
    }

    @Test
    void theIdIsFreeAgainOnceItIsRemoved() {
        cancel("a");
        state.apply(new RemoveJob("a"));
        assertThat(state.unsubmittedJobs()).isEmpty();
        assertThat(state.apply(job("a", step(2, List.of())))).isEqualTo(CommandResult.APPLIED);
    }

    /** Guards the memory of the members against callers who cancel any number of ids. */
    @Test
    void theOldestIdsGoFirstWhenThereAreTooMany() {
        for (int number = 0; number <= EarlyCancellation.MAX_KEPT; number++) {
            cancel("id-" + number);
        }
        assertThat(state.unsubmittedJobs())
                .hasSize(EarlyCancellation.MAX_KEPT)
                .startsWith("id-1")
                .endsWith("id-" + EarlyCancellation.MAX_KEPT);
        assertThat(state.jobs()).hasSize(EarlyCancellation.MAX_KEPT);
    }

    @Test
    void idsThatNoCallerHasAreNotKept() {
        cancel("");
        cancel("x".repeat(EarlyCancellation.MAX_ID_LENGTH + 1));
        assertThat(state.jobs()).isEmpty();
    }

    private void cancel(String jobId) {
        state.apply(EarlyCancellation.cancel(state, jobId, 0));
    }
}
