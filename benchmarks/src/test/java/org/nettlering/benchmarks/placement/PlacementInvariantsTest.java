package org.nettlering.benchmarks.placement;

import static org.assertj.core.api.Assertions.assertThat;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.nettlering.benchmarks.placement.model.Measures;
import org.nettlering.benchmarks.placement.model.Scenario;
import org.nettlering.benchmarks.placement.model.SiteModel;
import org.nettlering.domain.placement.FirstFitPlanner;
import org.nettlering.domain.placement.ScoredPlanner;

/** The invariants after every step of seeded runs in which everything goes wrong, for both planners. */
class PlacementInvariantsTest {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void theInvariantsHoldForTheChosenPlanner(long seed) {
        Measures measures = SiteModel.run(Scenario.severe(seed, ScoredPlanner::create));

        assertThat(measures.aboveCapMillis()).isZero();
        assertThat(measures.jobsFinished()).isPositive();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16})
    void theInvariantsHoldForTheNaivePlanner(long seed) {
        Measures measures = SiteModel.run(Scenario.severe(seed, FirstFitPlanner::create));

        assertThat(measures.jobsFinished()).isPositive();
    }
}
