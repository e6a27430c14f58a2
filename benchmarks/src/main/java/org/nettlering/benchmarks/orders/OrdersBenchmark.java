package org.nettlering.benchmarks.orders;

import java.util.Arrays;

/**
 * Measures the way of orders to hosts over real sockets on loopback.
 *
 * <p>Figures are comparable only under the flags of the control processes: give
 * {@code JAVA_TOOL_OPTIONS="-XX:TieredStopAtLevel=1 -XX:+UseSerialGC"}. Has no bound of its own.
 */
public final class OrdersBenchmark {
    private OrdersBenchmark() {}

    /**
     * Runs the benchmark.
     *
     * @param arguments "cost" or "troubles" for that part alone, not null
     * @return 0
     */
    public static int run(String[] arguments) {
        if (!Arrays.asList(arguments).contains("troubles")) {
            new OrderCost(System.out).run();
        }
        if (!Arrays.asList(arguments).contains("cost")) {
            new OrderTroubles(System.out).run();
        }
        return 0;
    }
}
