package org.nettlering.benchmarks.routing;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import org.junit.jupiter.api.Test;
import org.nettlering.benchmarks.routing.ModelSettings.Queueing;
import org.nettlering.benchmarks.routing.ModelSettings.Retries;
import org.nettlering.domain.routing.RoutingPolicy;

/** Holds the chosen policies against the naive ones on the same seeded arrivals. */
class PolicyDifferentialTest {
    private static final Duration DURATION = Duration.ofSeconds(12);
    private static final int INSTANCES = 30;
    private static final long SEED = 7;

    private static ModelSettings chosen(Scenario scenario) {
        return ModelSettings.routing(new RoutingPolicy.LeasedSlots(), scenario, INSTANCES, DURATION, SEED);
    }

    private static ModelSettings naive(Scenario scenario) {
        return ModelSettings.routing(new RoutingPolicy.RoundRobin(), scenario, INSTANCES, DURATION, SEED);
    }

    @Test
    void leasedSlotsOverAdmitAtMostAFifthOfRoundRobin() {
        ModelReport leased = RoutingModel.run(chosen(Scenario.UNIFORM));
        ModelReport roundRobin = RoutingModel.run(naive(Scenario.UNIFORM));

        assertThat(leased.overAdmittedPercent()).isLessThanOrEqualTo(roundRobin.overAdmittedPercent() / 5);
    }

    @Test
    void aSlowTenthDelaysAtMostHalfAsLongAsWithRoundRobin() {
        ModelReport leased = RoutingModel.run(chosen(Scenario.SLOW_TENTH));
        ModelReport roundRobin = RoutingModel.run(naive(Scenario.SLOW_TENTH));

        assertThat(leased.delayMillis(99)).isLessThanOrEqualTo(roundRobin.delayMillis(99) / 2);
    }

    @Test
    void underTwiceTheCapacityGoodputStaysAboveNineTenthsAndTheUrgentProfileKeepsItsTail() {
        ModelSettings overload = chosen(Scenario.OVERLOAD).withUrgentShare(0.4);
        ModelReport bounded = RoutingModel.run(overload);
        ModelReport unbounded =
                RoutingModel.run(naive(Scenario.OVERLOAD).withUrgentShare(0.4).withQueueing(Queueing.NONE));
        ModelReport quiet = RoutingModel.run(chosen(Scenario.UNIFORM).withUrgentShare(0.4));
        double capacity = overload.capacityPerSecond() * DURATION.toSeconds();

        assertThat(bounded.inTime()).isGreaterThanOrEqualTo((long) (0.9 * capacity));
        assertThat(bounded.inTime()).isGreaterThan(unbounded.inTime());
        assertThat(bounded.urgentResponseMillis(99)).isLessThanOrEqualTo(1.5 * quiet.urgentResponseMillis(99));
    }

    @Test
    void anOutageOfATenthCostsAtMostOneAndAFifthAttemptsARequest() {
        ModelReport budgeted =
                RoutingModel.run(chosen(Scenario.OUTAGE_OF_A_TENTH).withRetries(Retries.BUDGETED));

        assertThat(budgeted.attemptsPerRequest()).isLessThanOrEqualTo(1.2);
        assertThat(budgeted.failed()).isLessThanOrEqualTo(budgeted.arrived() / 1_000);
    }

    @Test
    void whenAllAreSlowThereIsNoStormOfRetries() {
        ModelReport budgeted = RoutingModel.run(chosen(Scenario.ALL_SLOW).withRetries(Retries.BUDGETED));

        assertThat(budgeted.attemptsPerRequest()).isLessThanOrEqualTo(1.2);
    }

    @Test
    void theSameSeedGivesTheSameReport() {
        ModelReport first = RoutingModel.run(chosen(Scenario.WAVE));
        ModelReport second = RoutingModel.run(chosen(Scenario.WAVE));

        assertThat(second.responseMillis(99.9)).isEqualTo(first.responseMillis(99.9));
        assertThat(second.arrived()).isEqualTo(first.arrived());
    }
}
