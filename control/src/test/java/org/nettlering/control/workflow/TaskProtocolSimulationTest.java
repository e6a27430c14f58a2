package org.nettlering.control.workflow;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.Optional;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.EnumSource.Mode;

/**
 * Simulates successive leaders and their hosts with seeded faults: lost commands, lost responses, commands executed seconds
 * late, partitioned hosts, host restarts, replaced leaders that do not know it yet, and faults of the program itself:
 * commands and proposals that throw or have no outcome.
 *
 * <p>Without an injected fault no seed may lead to one of these violations, and with each {@link InjectedFault} some seed must:
 *
 * <ul>
 *   <li>two runs of a task at the same time;
 *   <li>a start of a task after its DONE termination was acknowledged;
 *   <li>an acknowledgement of a DONE termination after another start of the task, unless the host's lease has expired
 *       in between;
 *   <li>a start of a task that has used up its attempts.
 * </ul>
 *
 * <p>Without an injected fault every job must also finish in the fault-free second half of the simulation.
 */
class TaskProtocolSimulationTest {
    private static final int SEEDS = 150;

    /** The number of seeds within which each injected fault must be detected. */
    private static final int MAX_SEEDS_PER_FAULT = 300;

    @Test
    void noSeedViolatesTheTaskGuarantees() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(TaskProtocolSimulation.simulate(seed, InjectedFault.NONE))
                    .as("seed " + seed)
                    .isEmpty();
        }
    }

    @Test
    void noSeedViolatesTheTaskGuaranteesWhereHostsKeepTheirIds() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(TaskProtocolSimulation.simulateWithKeptIds(seed))
                    .as("seed " + seed)
                    .isEmpty();
        }
    }

    /** Guards against TWICE: a lease that a reborn host had granted was taken to be over by the clock of its former incarnation. */
    @Test
    void noSeedViolatesTheTaskGuaranteesWhereHostsAreCutOffAfterTheirRebirths() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(TaskProtocolSimulation.simulateCutsAfterRebirths(seed))
                    .as("seed " + seed)
                    .isEmpty();
        }
    }

    /** Guards against TWICE: a new leader measured the lease of a reborn host by the clock of its former incarnation. */
    @Test
    void noSeedViolatesTheTaskGuaranteesWhereHostsAreRebornUnseenByANewLeader() {
        for (int seed = 1; seed <= SEEDS; seed++) {
            assertThat(TaskProtocolSimulation.simulateRebirthsUnseenByLeaders(seed))
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
