package org.nettlering.domain.interference;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.assertj.core.data.Percentage;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.interference.PairwiseInterferenceModel.Neighbor;

class PairwiseInterferenceModelTest {
    private final PairwiseInterferenceModel model = PairwiseInterferenceModel.empty();
    private final Random random = new Random(7);

    @Test
    void anUnseenPairIsPredictedWithThePrior() {
        assertThat(model.predict("preview", new Neighbor("unknown", 2)))
                .isEqualTo(2 * PairwiseInterferenceModel.PRIOR_THOUSANDTHS_PER_PROCESSOR);
    }

    @Test
    void pairsAreDistinguishedFromNoisySamplesOfMixedNeighbors() {
        for (int sample = 0; sample < 3_000; sample++) {
            double noisy = random.nextInt(4);
            double quiet = random.nextInt(8);
            double truth = 1_000 + 35 * noisy + 2 * quiet;
            int measured = (int) (truth * (1 + 0.05 * random.nextGaussian()));
            model.learn("preview", measured, neighbors(noisy, quiet));
        }

        assertThat(model.predict("preview", new Neighbor("noisy", 1))).isCloseTo(35, Percentage.withPercentage(35));
        assertThat(model.predict("preview", new Neighbor("quiet", 1))).isCloseTo(2, within(6.0));
    }

    @Test
    void aSingleOutlierChangesALearnedPairOnlySlightly() {
        for (int sample = 0; sample < 500; sample++) {
            model.learn("preview", 1_020, neighbors(2, 0));
        }
        double before = model.predict("preview", new Neighbor("noisy", 1));

        model.learn("preview", 9_000, neighbors(2, 0));

        assertThat(model.predict("preview", new Neighbor("noisy", 1))).isCloseTo(before, within(8.0));
    }

    private static List<Neighbor> neighbors(double noisy, double quiet) {
        List<Neighbor> neighbors = new ArrayList<>();
        if (noisy > 0) {
            neighbors.add(new Neighbor("noisy", noisy));
        }
        if (quiet > 0) {
            neighbors.add(new Neighbor("quiet", quiet));
        }
        return neighbors;
    }
}
