package org.nettlering.benchmarks;

import java.util.Arrays;
import org.nettlering.benchmarks.capacity.CapacityBenchmark;
import org.nettlering.benchmarks.consensus.ConsensusBenchmark;
import org.nettlering.benchmarks.leader.LeaderBenchmark;
import org.nettlering.benchmarks.orders.OrdersBenchmark;
import org.nettlering.benchmarks.path.PathBenchmark;
import org.nettlering.benchmarks.placement.PlacementBenchmark;
import org.nettlering.benchmarks.routing.RoutingBenchmark;

/**
 * Runs one benchmark by name.
 *
 * <p>Exit codes: 0 on success, 1 when a benchmark's bound is not met, 2 for a wrong command line.
 */
public final class BenchmarkMain {
    private static final int EXIT_USAGE = 2;

    private BenchmarkMain() {}

    /**
     * Runs the benchmark that the first argument names, with the others.
     *
     * @param arguments the command line, not null
     */
    public static void main(String[] arguments) {
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        if (arguments.length == 0) {
            return usage();
        }
        String[] rest = Arrays.copyOfRange(arguments, 1, arguments.length);
        return switch (arguments[0]) {
            case "routing" -> RoutingBenchmark.run(rest);
            case "placement" -> PlacementBenchmark.run(rest);
            case "path" -> new PathBenchmark().run(rest);
            case "consensus" -> ConsensusBenchmark.run(rest);
            case "capacity" -> new CapacityBenchmark().run(rest);
            case "leader" -> LeaderBenchmark.run(rest);
            case "orders" -> OrdersBenchmark.run(rest);
            case "--help" -> help();
            default -> usage();
        };
    }

    private static int help() {
        System.out.println("usage: bench routing|placement|consensus|capacity|path|leader|orders OPTIONS");
        return 0;
    }

    private static int usage() {
        System.err.println("usage: bench routing|placement|consensus|capacity|path|leader|orders OPTIONS");
        return EXIT_USAGE;
    }
}
