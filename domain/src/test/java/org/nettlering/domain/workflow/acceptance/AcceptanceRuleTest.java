package org.nettlering.domain.workflow.acceptance;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.step;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.workflow.JobDefinition;
import org.nettlering.domain.workflow.Recurrence;
import org.nettlering.domain.workflow.StepTrait;

class AcceptanceRuleTest {
    private static final JobDefinition LASTING =
            new JobDefinition("watch", List.of(step(6, List.of(), StepTrait.LONG_RUNNING)), Recurrence.ONCE);

    private static final JobDefinition ENDING = new JobDefinition("work", List.of(step(6, List.of())), Recurrence.ONCE);

    @Test
    void jobsThatLastAreRejectedWhenTheyWouldLeaveTooLittleRoomForShortWork() {
        long lasting = 0;
        int accepted = 0;
        while (AcceptanceRule.rejection(LASTING, 100_000, lasting).isEmpty()) {
            lasting += AcceptanceRule.lastingMillicores(LASTING);
            accepted++;
        }
        assertThat(accepted).isEqualTo(14);
        assertThat(lasting).isLessThanOrEqualTo(88_000);
    }

    @Test
    void workThatEndsIsAlwaysAccepted() {
        assertThat(AcceptanceRule.rejection(ENDING, 100_000, 100_000)).isEmpty();
    }

    @Test
    void nothingIsRejectedBeforeAnyHostIsKnown() {
        assertThat(AcceptanceRule.rejection(LASTING, 0, 50_000)).isEmpty();
    }
}
