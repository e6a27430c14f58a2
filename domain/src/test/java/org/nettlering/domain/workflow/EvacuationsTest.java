package org.nettlering.domain.workflow;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import org.junit.jupiter.api.Test;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.domain.workflow.WorkflowCommand.ChangeEvacuation;

class EvacuationsTest {
    private final WorkflowState state = WorkflowState.empty();

    @Test
    void startedEvacuationHoldsUntilItIsFinished() {
        assertThat(change("zone-a", true, 0)).isEqualTo(CommandResult.APPLIED);
        assertThat(state.evacuations().includes("zone-a")).isTrue();
        assertThat(state.evacuations().includes("zone-b")).isFalse();
        assertThat(change("zone-a", false, 1)).isEqualTo(CommandResult.APPLIED);
        assertThat(state.evacuations().failureDomains()).isEmpty();
    }

    @Test
    void repeatedOrderChangesNothingAndIsNotRefused() {
        change("zone-a", true, 0);
        assertThat(change("zone-a", true, 0)).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.evacuations().version()).isEqualTo(1);
    }

    @Test
    void finishWithoutStartChangesNothing() {
        assertThat(change("zone-a", false, 0)).isEqualTo(CommandResult.UNCHANGED);
        assertThat(state.evacuations()).isEqualTo(Evacuations.NONE);
    }

    @Test
    void startThatArrivesAfterTheFinishOfItsRepetitionHasNoEffect() {
        change("zone-a", true, 0);
        change("zone-a", false, 1);
        assertThat(change("zone-a", true, 0)).isEqualTo(CommandResult.VERSION_CONFLICT);
        assertThat(state.evacuations().includes("zone-a")).isFalse();
    }

    @Test
    void snapshotHoldsTheEvacuationsAndTheirVersion() {
        change("zone-a", true, 0);
        change("zone-b", true, 1);
        assertThat(WorkflowState.from(state.snapshot()).evacuations()).isEqualTo(state.evacuations());
    }

    @Test
    void invalidNamesAreRefused() {
        for (String name : new String[] {"", " ", "z".repeat(201)}) {
            assertThatThrownBy(() -> Evacuations.requireValidName(name))
                    .isInstanceOfSatisfying(
                            NettleringException.class,
                            exception -> assertThat(exception.code()).isEqualTo(ErrorCode.INVALID_ARGUMENT));
        }
    }

    private CommandResult change(String failureDomain, boolean evacuated, long expectedVersion) {
        return state.apply(new ChangeEvacuation(failureDomain, evacuated, expectedVersion));
    }
}
