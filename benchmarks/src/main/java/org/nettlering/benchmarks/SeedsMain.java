package org.nettlering.benchmarks;

import java.util.List;
import java.util.stream.LongStream;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import org.nettlering.consensus.simulation.LossSimulation;
import org.nettlering.consensus.simulation.Simulation;
import org.nettlering.consensus.simulation.SimulationResult;

/**
 * Runs the fault simulation of the replicated log on as many seeds as wanted.
 *
 * <p>Exit codes: 0 when every seed passed, 1 when one failed, 2 for a wrong command line.
 */
public final class SeedsMain {
    private static final int EXIT_FAILED = 1;
    private static final int EXIT_USAGE = 2;

    @Option(name = "--count", usage = "how many seeds to run")
    private long count = 1_000;

    @Option(name = "--first", usage = "the first seed")
    private long first = 1;

    @Option(name = "--loss", usage = "end each run with the loss of as many disks as the group bears")
    private boolean loss;

    private SeedsMain() {}

    /**
     * Runs the seeds.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        System.exit(new SeedsMain().run(arguments));
    }

    private int run(String[] arguments) {
        CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(arguments);
        } catch (CmdLineException e) {
            System.err.println(e.getMessage());
            parser.printUsage(System.err);
            return EXIT_USAGE;
        }
        List<SimulationResult> results = LongStream.range(first, first + count)
                .parallel()
                .mapToObj(this::simulate)
                .toList();
        return report(results);
    }

    private SimulationResult simulate(long seed) {
        return loss
                ? LossSimulation.ofSeed(seed).run()
                : Simulation.ofSeed(seed).run();
    }

    private static int report(List<SimulationResult> results) {
        List<SimulationResult> failed =
                results.stream().filter(result -> !result.isPassed()).toList();
        long commands = results.stream()
                .mapToLong(SimulationResult::acknowledgedCommands)
                .sum();
        long reads =
                results.stream().mapToLong(SimulationResult::completedReads).sum();
        long faults =
                results.stream().mapToLong(SimulationResult::injectedFaults).sum();
        System.out.printf(
                "%d seeds, %d failed; %d commands acknowledged, %d reads answered, %d faults%n",
                results.size(), failed.size(), commands, reads, faults);
        for (SimulationResult result : failed) {
            System.out.println("seed " + result.seed() + ": " + result.violation());
            System.out.println("  repeat: " + result.repeatCommand());
        }
        return failed.isEmpty() ? 0 : EXIT_FAILED;
    }
}
