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

    /** The bounds of docs/design/placement.md, for one hour at the size of Ljubljana. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void onTheSameInputTheChosenPlannerMeetsItsBoundsAgainstTheNaiveOne(long seed) {
        Measures naive = SiteModel.run(Scenario.ljubljana(seed, FirstFitPlanner::create));
        Measures chosen = SiteModel.run(Scenario.ljubljana(seed, ScoredPlanner::create));

        assertThat(chosen.serviceP99() - 1).isLessThanOrEqualTo((naive.serviceP99() - 1) / 2);
        assertThat(chosen.workFinished()).isGreaterThanOrEqualTo(0.95 * naive.workFinished());
        assertThat(chosen.missedDeadlines()).isLessThanOrEqualTo(naive.missedDeadlines());
        assertThat(chosen.workLostToStops()).isLessThanOrEqualTo(0.02 * chosen.workFinished());
        assertThat(chosen.aboveCapMillis()).isZero();
        assertThat(chosen.aboveLoweredCapMillis()).isLessThanOrEqualTo(30_000);
        assertThat(chosen.urgentStartP99Millis()).isLessThanOrEqualTo(4_500);
    }
}
