package org.nettlering.benchmarks.leader;

import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;

/**
 * Measures the processor time of the leader's loop for a start and its end together, by stage.
 *
 * <p>The loop, its service and the state are the product's; log, hosts and callers are models in simulated time. Log lines
 * are written, but to nowhere. Nothing is checked: the figures are for comparison.
 */
public final class LeaderBenchmark {
    /** The loads; a small one is run before, so that all are measured with compiled code. */
    private static final List<Load> LOADS = List.of(
            Load.ankara(342),
            Load.ankara(490),
            Load.inProportion(50),
            Load.inProportion(1_000),
            Load.stuck(342, 5_000),
            Load.overloaded(342));

    private LeaderBenchmark() {}

    /**
     * Runs the benchmark and prints its tables.
     *
     * @param arguments none are known, not null
     * @return zero
     */
    public static int run(String[] arguments) {
        PrintStream output = System.out;
        System.setOut(new PrintStream(OutputStream.nullOutputStream(), false, StandardCharsets.UTF_8));
        output.println("one reading of the clock: " + new StageClock().readNanos() + " ns, taken off");
        LeaderRun.measure(Load.inProportion(50));
        for (Load load : LOADS) {
            LeaderRun.measure(load).print(output);
        }
        return 0;
    }
}
