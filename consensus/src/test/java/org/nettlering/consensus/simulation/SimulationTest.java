package org.nettlering.consensus.simulation;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class SimulationTest {
    private static final long FIRST_SEED = 1;

    private static final long SEED_COUNT = 1_000;

    private static final long LOSS_SEED_COUNT = 200;

    @Test
    void everySeedConvergesWithoutViolation() {
        List<String> failures = LongStream.range(FIRST_SEED, FIRST_SEED + SEED_COUNT)
                .parallel()
                .mapToObj(seed -> Simulation.ofSeed(seed).run())
                .filter(result -> !result.isPassed())
                .map(result -> result.repeatCommand() + ": " + result.violation())
                .toList();

        assertThat(failures).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(longs = {495, 100_913, 102_549, 102_570, 105_363})
    void seedsThatOnceFailedPass(long seed) {
        assertThat(Simulation.ofSeed(seed).run().violation()).isEmpty();
    }

    @Test
    void equalSeedsGiveEqualResults() {
        assertThat(Simulation.ofSeed(FIRST_SEED).run())
                .isEqualTo(Simulation.ofSeed(FIRST_SEED).run());
    }

    @Test
    void noLossThatAGroupBearsLosesWhatWasAcknowledged() {
        List<String> failures = LongStream.range(FIRST_SEED, FIRST_SEED + LOSS_SEED_COUNT)
                .parallel()
                .mapToObj(seed -> LossSimulation.ofSeed(seed).run())
                .filter(result -> !result.isPassed())
                .map(result -> result.repeatCommand() + ": " + result.violation())
                .toList();

        assertThat(failures).isEmpty();
    }
}
