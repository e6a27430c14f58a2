package org.nettlering.consensus.simulation;

import java.time.Duration;
import java.util.SplittableRandom;
import org.nettlering.consensus.ConsensusSettings;

/**
 * One seeded run of a group under faults.
 *
 * <p>Clients propose and read all the time. First faults strike at random; then everything is healed, and the group has to
 * agree and to go on. Not thread-safe.
 */
public final class Simulation {
    /** How long faults strike. */
    private static final Duration FAULT_PHASE = Duration.ofSeconds(25);

    /** How long the healed group may take to agree. */
    private static final Duration RECOVERY_LIMIT = Duration.ofSeconds(60);

    /** The time between two looks at the run. */
    private static final Duration STEP = Duration.ofMillis(20);

    /** The times and limits of the members, small so that every limit is met in a short run. */
    private static final ConsensusSettings SETTINGS = ConsensusSettings.DEFAULT
            .withTimeouts(Duration.ofMillis(50), Duration.ofMillis(300))
            .withSnapshotLimits(2_000, 10, 256)
            .withReplicationLimits(400, 3, 4_000);

    /** The seed. */
    private final long seed;

    /** Draws everything that is random. */
    private final SplittableRandom random;

    /** The group. */
    private final SimulatedGroup group;

    /** The faults. */
    private final FaultInjector faults;

    /** The clients. */
    private final SimulatedClients clients;

    /**
     * Creates a run.
     *
     * @param seed the seed
     * @return the run, never null
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

    /** Returns the settings of the run; in a part of the runs elections are as quick as messages, so that they collide. */
    private ConsensusSettings settings() {
        return random.nextInt(4) == 0 ? SETTINGS.withTimeouts(Duration.ofMillis(20), Duration.ofMillis(60)) : SETTINGS;
    }

    /**
     * Runs the simulation.
     *
     * @return the outcome, never null
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
                faults.injectedFaults());
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
        history.require(converged, "the healed group did not agree within " + RECOVERY_LIMIT);
        for (SimulatedMember member : group.currentMembers()) {
            history.checkFinalState(member.id, member.machine().register());
        }
    }
}
