package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.util.SplittableRandom;
import org.nettlering.consensus.ConsensusSettings;

/**
 * A deterministic simulation of a group under random faults, reproducible from its seed.
 *
 * <p>A run has two phases, in which clients propose commands and read:
 *
 * <ol>
 *   <li>Faults are injected at random.
 *   <li>All faults are repaired. The group must acknowledge further commands, and all its members must converge.
 * </ol>
 *
 * <p>Not thread-safe.
 */
public final class Simulation {
    /** The duration of the first phase. */
    private static final Duration FAULT_PHASE = Duration.ofSeconds(25);

    /** The limit on the duration of the second phase. */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(60);

    /** The simulated time between two steps of the clients and faults. */
    private static final Duration STEP = Duration.ofMillis(20);

    /** Timeouts and limits of the members, small enough that a short run reaches each of them. */
    private static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT
            .withTimeouts(Duration.ofMillis(50), Duration.ofMillis(300))
            .withSnapshotLimits(2_000, 10, 256)
            .withReplicationLimits(400, 3, 4_000);

    private final long seed;

    private final SplittableRandom random;

    private final SimulatedGroup group;

    private final FaultInjector faults;

    private final SimulatedClients clients;

    /**
     * Creates the simulation of a seed.
     *
     * @param seed the seed, which determines the whole run
     * @return the simulation, never null
     */
    public static Simulation ofSeed(long seed) {
        return new Simulation(seed);
    }

    private Simulation(long seed) {
        this.seed = seed;
        random = new SplittableRandom(seed);
        int size = random.nextInt(4) == 0 ? 5 : 3;
        group = new SimulatedGroup(random.split(), size, settings());
        faults = new FaultInjector(group, random.split());
        clients = new SimulatedClients(group, random.split());
    }

    /** Returns the settings; one run in four has election timeouts near the message delay, so that elections collide. */
    private ConsensusSettings settings() {
        return random.nextInt(4) == 0 ? SETTINGS.withTimeouts(Duration.ofMillis(20), Duration.ofMillis(60)) : SETTINGS;
    }

    /**
     * Runs the simulation; call it only once.
     *
     * @return the result, never null
     */
    public SimulationResult run() {
        group.startAll();
        long faultsEndNanos = FAULT_PHASE.toNanos();
        while (group.time().nanoTime() < faultsEndNanos && hasNoViolation()) {
            faults.step();
            clients.step();
            group.advance(STEP);
        }
        checkRecovery();
        History history = group.history();
        return new SimulationResult(
                seed,
                history.violation(),
                history.acknowledgedCommands(),
                history.completedReads(),
                faults.injectedFaults(),
                false);
    }

    private boolean hasNoViolation() {
        return group.history().violation().isEmpty();
    }

    private void checkRecovery() {
        faults.stopAndRepair();
        History history = group.history();
        long limitNanos = group.time().nanoTime() + RECOVERY_LIMIT.toNanos();
        long commandsBeforeRecovery = history.acknowledgedCommands();
        boolean converged = false;
        while (!converged && group.time().nanoTime() < limitNanos && hasNoViolation()) {
            boolean progressed = history.acknowledgedCommands() > commandsBeforeRecovery;
            if (!progressed) {
                clients.step();
            }
            group.advance(STEP);
            converged = progressed && group.hasConverged();
        }
        history.require(converged, "the repaired group did not converge within " + RECOVERY_LIMIT);
        for (SimulatedMember member : group.currentMembers()) {
            history.checkFinalState(member.id, member.machine().register());
        }
    }
}
