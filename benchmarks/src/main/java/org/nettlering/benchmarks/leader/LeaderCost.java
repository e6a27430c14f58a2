package org.nettlering.benchmarks.leader;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import org.HdrHistogram.Histogram;

/**
 * What the leader cost under one load.
 *
 * @param load the load, not null
 * @param clock the processor time by stage, not null
 * @param delays the time from the acceptance of each job to its first order, in milliseconds of simulated time, not null
 * @param duration the simulated time, not null
 * @param starts the orders to start, each of which was preceded or followed by an end
 * @param running the tasks at work in the end
 * @param waiting the tasks that wait in the end
 */
record LeaderCost(
        Load load, StageClock clock, Histogram delays, Duration duration, long starts, int running, int waiting) {
    private static final double NANOS_PER_MICRO = 1e3;
    private static final double NANOS_PER_MILLI = 1e6;

    void print(PrintStream output) {
        double seconds = duration.toMillis() / 1e3;
        output.printf(
                Locale.ROOT,
                "%n%s: %.0f starts/s, %.1f tasks a host at work, %d waiting%n",
                load,
                starts / seconds,
                (double) running / load.hosts(),
                waiting);
        output.printf(
                Locale.ROOT,
                "%-16s %12s %14s %12s %14s%n",
                "stage",
                "us a start",
                "times a start",
                "us a time",
                "longest, ms");
        long sum = 0;
        long longest = 0;
        for (Stage stage : Stage.values()) {
            if (stage != Stage.MODEL) {
                sum += clock.spentNanos(stage);
                longest = Math.max(longest, clock.longestHoldNanos(stage));
                printStage(output, stage);
            }
        }
        output.printf(
                Locale.ROOT,
                "%-16s %12.1f   %.3f of a processor; longest hold of the lock %.2f ms%n",
                "all",
                sum / NANOS_PER_MICRO / starts,
                sum / (double) duration.toNanos(),
                longest / NANOS_PER_MILLI);
        output.printf(
                Locale.ROOT,
                "acceptance to first order, simulated: p50 %d ms, p99 %d ms, longest %d ms, %d jobs%n",
                delays.getValueAtPercentile(50),
                delays.getValueAtPercentile(99),
                delays.getMaxValue(),
                delays.getTotalCount());
    }

    private void printStage(PrintStream output, Stage stage) {
        long times = clock.entered(stage);
        output.printf(
                Locale.ROOT,
                "%-16s %12.1f %14.2f %12.1f %14.2f%n",
                stage.title(),
                clock.spentNanos(stage) / NANOS_PER_MICRO / starts,
                (double) times / starts,
                times == 0 ? 0 : clock.spentNanos(stage) / NANOS_PER_MICRO / times,
                clock.longestHoldNanos(stage) / NANOS_PER_MILLI);
    }
}
