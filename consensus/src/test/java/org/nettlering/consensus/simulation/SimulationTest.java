package org.nettlering.consensus.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;

class SimulationTest {
    private static final long FIRST_SEED = 1;

    private static final long SEEDS = 1_000;

    @Test
    void everySeedKeepsWhatItAcknowledgedAndAgreesInTheEnd() {
        List<String> failures = LongStream.range(FIRST_SEED, FIRST_SEED + SEEDS)
                .parallel()
                .mapToObj(seed -> Simulation.ofSeed(seed).run())
                .filter(result -> !result.isPassed())
                .map(result -> result.repeatCommand() + ": " + result.violation())
                .toList();

        assertThat(failures).isEmpty();
    }

    @Test
    void aSeedGivesTheSameRunEachTime() {
        assertThat(Simulation.ofSeed(FIRST_SEED).run())
                .isEqualTo(Simulation.ofSeed(FIRST_SEED).run());
    }
}
