package org.nettlering.domain.workflow.placement;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.task.Resources;
import org.nettlering.domain.workflow.PlacementConstraints;
import org.nettlering.domain.workflow.StepServiceLevel;
import org.nettlering.domain.workflow.StepSpecification;
import org.nettlering.domain.workflow.StepTrait;

class UnschedulableDemandsTest {
    private static final PlacementConstraints OTHER_RACK = new PlacementConstraints("r2", "", 0);

    private final UnschedulableDemands demands = new UnschedulableDemands();

    @Test
    void includesStepsThatRequireAtLeastAsMuchOfEachResource() {
        demands.add("pool", step(2_000, 200, "", PlacementConstraints.NONE));
        assertThat(demands.includes("pool", step(2_000, 300, "", OTHER_RACK))).isTrue();
        assertThat(demands.includes("pool", step(9_000, 199, "", PlacementConstraints.NONE)))
                .isFalse();
        assertThat(demands.includes("other", step(9_000, 900, "", PlacementConstraints.NONE)))
                .isFalse();
    }

    @Test
    void aSmallerDemandReplacesLargerOnes() {
        demands.add("pool", step(2_000, 200, "", PlacementConstraints.NONE));
        demands.add("pool", step(1_000, 100, "", PlacementConstraints.NONE));
        assertThat(demands.includes("pool", step(1_500, 150, "", PlacementConstraints.NONE)))
                .isTrue();
    }

    @Test
    void aStepWithConstraintsShowsNothingAboutOthers() {
        demands.add("pool", step(1_000, 100, "", OTHER_RACK));
        assertThat(demands.includes("pool", step(1_000, 100, "", PlacementConstraints.NONE)))
                .isFalse();
    }

    @Test
    void bestEffortStepsOfAnotherImageMayStillFindAHost() {
        demands.add("pool", step(1_000, 100, "costly", PlacementConstraints.NONE));
        assertThat(demands.includes("pool", step(1_000, 100, "cheap", PlacementConstraints.NONE)))
                .isFalse();
        assertThat(demands.includes("pool", step(1_000, 100, "", PlacementConstraints.NONE)))
                .isFalse();
    }

    /** Returns a step that is best-effort if it has an image. */
    private static StepSpecification step(
            long millicores, long mebibytes, String image, PlacementConstraints constraints) {
        Set<StepTrait> traits = image.isEmpty() ? Set.of() : Set.of(StepTrait.BEST_EFFORT);
        return new StepSpecification(
                1,
                Resources.of(millicores, mebibytes, 0),
                1_000,
                List.of(),
                traits,
                constraints,
                new StepServiceLevel(image, 0, -1));
    }
}
