package org.nettlering.domain.workflow.sharing;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.domain.workflow.WorkflowSamples.run;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.interference.InterferenceModel.Neighbor;
import org.nettlering.domain.workflow.RunId;

class StrainModelTest {
    private static final RunId SERVED = run("served", 0, 0, 1);

    private static final Neighbor HEAVY = new Neighbor("heavy", 4);

    private static final Neighbor LIGHT = new Neighbor("light", 4);

    private static final Duration BETWEEN_LOOKS = Duration.ofMillis(450);

    private final StrainModel model = new StrainModel();

    private long nowNanos;

    @Test
    void theCostsOfAPairAreToldFromALoadThatSwingsAsMuch() {
        Random random = new Random(20260104);
        List<Neighbor> beside = new ArrayList<>();
        for (int look = 0; look < 120; look++) {
            nowNanos += BETWEEN_LOOKS.toNanos();
            if (look % 6 == 0) {
                beside = new ArrayList<>(random.nextBoolean() ? List.of(HEAVY) : List.of());
                beside.addAll(random.nextBoolean() ? List.of(LIGHT, LIGHT) : List.of());
            }
            learn(swingingStrain(nowNanos) + strainOf(beside), beside);
        }
        assertThat(model.cost("s", HEAVY)).as("160 in truth").isBetween(120.0, 200.0);
        assertThat(model.cost("s", LIGHT)).as("8 in truth").isBetween(0.0, 35.0);
    }

    @Test
    void whatChangesWithoutANeighborIsPutDownToTheRunItself() {
        for (int look = 0; look < 60; look++) {
            nowNanos += BETWEEN_LOOKS.toNanos();
            learn(look < 30 ? 300 : 700, List.of());
        }
        assertThat(model.base("host", SERVED, 0)).isBetween(650.0, 750.0);
    }

    @Test
    void whatIsNotKnownIsTakenWithAMargin() {
        assertThat(model.cautiousCost("s", HEAVY)).isGreaterThan(model.cost("s", HEAVY));
    }

    @Test
    void theMarginShrinksWithWhatIsSeen() {
        double before = model.cautiousCost("s", LIGHT) - model.cost("s", LIGHT);
        for (int look = 0; look < 40; look++) {
            nowNanos += BETWEEN_LOOKS.toNanos();
            List<Neighbor> beside = look % 2 == 0 ? List.of(LIGHT) : List.of();
            learn(300 + strainOf(beside), beside);
        }
        assertThat(model.cautiousCost("s", LIGHT) - model.cost("s", LIGHT)).isLessThan(before / 2);
    }

    @Test
    void aRunThatIsNoLongerListedIsForgotten() {
        learn(100, List.of());
        assertThat(model.base("host", SERVED, 999)).isLessThan(500);
        model.learn("host", Map.of(), List.of(), nowNanos);
        assertThat(model.base("host", SERVED, 999)).isEqualTo(999);
    }

    private void learn(double strain, List<Neighbor> beside) {
        Map<ServingRun, Long> strains = new LinkedHashMap<>();
        strains.put(new ServingRun(SERVED, "s", 20, 10), Math.round(strain));
        model.learn("host", strains, beside, nowNanos);
    }

    /** A load that swings by half within ten seconds. */
    private static double swingingStrain(long nanos) {
        return 500 + 250 * Math.sin(2 * Math.PI * nanos / Duration.ofSeconds(10).toNanos());
    }

    private static double strainOf(List<Neighbor> beside) {
        double sum = 0;
        for (Neighbor neighbor : beside) {
            sum += (neighbor.workClass().equals("heavy") ? 40 : 2) * neighbor.processors();
        }
        return sum;
    }
}
