package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/**
 * Plays leaders, their successors and hosts against each other with seeded faults: orders that are lost, answers that are
 * lost, orders carried out seconds later, hosts that are cut off or start again, leaders that do not know that they were
 * replaced. Looks for two runs of a task at a time, a start after an end as done that was noted, and a start past the
 * attempts; and shows that it would find each of five planted faults.
 */
class TaskProtocolSimulationTest {
    private static final int SEEDS = 150;

    /** Seeds within which a planted fault must be found. */
    private static final int MAX_SEEDS_PER_FAULT = 300;

    @Test
    void noSeedViolatesTheTaskGuarantees() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(TaskProtocolSimulation.simulate(seed, InjectedFault.NONE))
                    .as("seed " + seed)
                    .isEmpty();
        }
    }

    @ParameterizedTest
    @EnumSource(mode = Mode.EXCLUDE, names = "NONE")
    void anInjectedFaultIsDetected(InjectedFault fault) {
        Optional<String> violation = Optional.empty();
        for (int seed = 1; seed <= MAX_SEEDS_PER_FAULT && violation.isEmpty(); seed++) {
            violation = TaskProtocolSimulation.simulate(seed, fault);
        }
        assertThat(violation).isPresent();
    }
}
