package org.nettlering.domain.workflow.colocation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

class InterferenceModelTest {
    private static final RunId LATENCY_CRITICAL = run("served", 0, 0, 1);

    private static final Neighbor HEAVY = new Neighbor("heavy", 4);

    private static final Neighbor LIGHT = new Neighbor("light", 4);

    private static final Duration SAMPLE_INTERVAL = Duration.ofMillis(450);

    private final InterferenceModel model = new InterferenceModel();

    private long nowNanos;

    @Test
    void pairCostsAreSeparatedFromEquallyLargeLoadFluctuation() {
        Random random = new Random(20260104);
        List<Neighbor> neighbors = new ArrayList<>();
        for (int sample = 0; sample < 120; sample++) {
            nowNanos += SAMPLE_INTERVAL.toNanos();
            if (sample % 6 == 0) {
                neighbors = new ArrayList<>(random.nextBoolean() ? List.of(HEAVY) : List.of());
                neighbors.addAll(random.nextBoolean() ? List.of(LIGHT, LIGHT) : List.of());
            }
            learn(fluctuatingPressure(nowNanos) + pressureOf(neighbors), neighbors);
        }
        assertThat(model.cost("s", HEAVY)).as("true cost is 160").isBetween(120.0, 200.0);
        assertThat(model.cost("s", LIGHT)).as("true cost is 8").isBetween(0.0, 35.0);
    }

    @Test
    void changeWithoutNeighborsIsAttributedToBasePressure() {
        for (int sample = 0; sample < 60; sample++) {
            nowNanos += SAMPLE_INTERVAL.toNanos();
            learn(sample < 30 ? 300 : 700, List.of());
        }
        assertThat(model.basePressure("host", LATENCY_CRITICAL, 0)).isBetween(650.0, 750.0);
    }

    @Test
    void conservativeCostOfUnknownPairIncludesMargin() {
        assertThat(model.conservativeCost("s", HEAVY)).isGreaterThan(model.cost("s", HEAVY));
    }

    @Test
    void marginShrinksWithMeasurements() {
        double initialMargin = model.conservativeCost("s", LIGHT) - model.cost("s", LIGHT);
        for (int sample = 0; sample < 40; sample++) {
            nowNanos += SAMPLE_INTERVAL.toNanos();
            List<Neighbor> neighbors = sample % 2 == 0 ? List.of(LIGHT) : List.of();
            learn(300 + pressureOf(neighbors), neighbors);
        }
        assertThat(model.conservativeCost("s", LIGHT) - model.cost("s", LIGHT)).isLessThan(initialMargin / 2);
    }

    @Test
    void runMissingFromMeasurementIsRemoved() {
        learn(100, List.of());
        assertThat(model.basePressure("host", LATENCY_CRITICAL, 999)).isLessThan(500);
        model.learn("host", Map.of(), List.of(), nowNanos);
        assertThat(model.basePressure("host", LATENCY_CRITICAL, 999)).isEqualTo(999);
    }

    private void learn(double pressure, List<Neighbor> neighbors) {
        Map<LatencyCriticalRun, Long> pressures = new LinkedHashMap<>();
        pressures.put(new LatencyCriticalRun(LATENCY_CRITICAL, "s", 20, 10), Math.round(pressure));
        model.learn("host", pressures, neighbors, nowNanos);
    }

    /** Returns a base pressure that varies by half of its mean with a period of ten seconds. */
    private static double fluctuatingPressure(long nanos) {
        return 500 + 250 * Math.sin(2 * Math.PI * nanos / Duration.ofSeconds(10).toNanos());
    }

    private static double pressureOf(List<Neighbor> neighbors) {
        double sum = 0;
        for (Neighbor neighbor : neighbors) {
            sum += (neighbor.workClass().equals("heavy") ? 40 : 2) * neighbor.processors();
        }
        return sum;
    }
}
