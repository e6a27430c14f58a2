package org.nettlering.benchmarks.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.function.Supplier;
import org.nettlering.benchmarks.placement.model.Measures;
import org.nettlering.benchmarks.placement.model.Scenario;
import org.nettlering.benchmarks.placement.model.SiteModel;
import org.nettlering.domain.placement.FirstFitPlanner;
import org.nettlering.domain.placement.Planner;
import org.nettlering.domain.placement.ScoredPlanner;

/**
 * Holds the chosen planner against the naive one, by the bounds of docs/design/placement.md.
 *
 * <p>Arguments: {@code --seed S} for another input, {@code --no-cost} to leave out the cost at three sizes.
 */
public final class PlacementBenchmark {
    /** The seed of the published figures. */
    private static final long DEFAULT_SEED = 1;

    /** The sizes at which the cost is measured, in workers. */
    private static final int[] SIZES = {30, 450, 7_200};

    /** The starts a second that one core has to decide at the largest size: ten times the users' peak. */
    private static final int PLACEMENTS_PER_SECOND = 4_200;

    /** How long an urgent job may wait until it runs: the users' bound. */
    private static final long URGENT_START_MILLIS = 4_500;

    private PlacementBenchmark() {}

    /**
     * Runs the benchmark and prints its tables.
     *
     * @param arguments the arguments, not null
     * @return zero if every bound was met, one if not
     */
    public static int run(String[] arguments) {
        List<String> options = List.of(arguments);
        int seedAt = options.indexOf("--seed");
        long seed = seedAt < 0 ? DEFAULT_SEED : Long.parseLong(options.get(seedAt + 1));
        List<String> broken = new ArrayList<>();
        compare("Ljubljana", seed, Scenario::ljubljana, broken);
        compare("Ankara", seed, Scenario::ankara, broken);
        if (!options.contains("--no-cost")) {
            measureCost(broken);
        }
        broken.forEach(bound -> System.out.println("BROKEN " + bound));
        System.out.println(broken.isEmpty() ? "every bound is met" : broken.size() + " bounds are broken");
        return broken.isEmpty() ? 0 : 1;
    }

    private static void measureCost(List<String> broken) {
        System.out.printf(
                Locale.ROOT,
                "%n%8s %8s %14s %14s %14s%n",
                "workers",
                "tasks",
                "placements/s",
                "bytes/worker",
                "bytes/task");
        List<PlacementCost.Cost> costs = new ArrayList<>();
        for (int workers : SIZES) {
            PlacementCost.Cost cost = PlacementCost.measure(workers);
            costs.add(cost);
            System.out.println(cost.line());
        }
        PlacementCost.Cost first = costs.getFirst();
        PlacementCost.Cost last = costs.getLast();
        double slope = (1e6 / last.placementsPerSecond() - 1e6 / first.placementsPerSecond())
                / (last.workers() - first.workers());
        System.out.printf(Locale.ROOT, "slope: %.4f microseconds a placement for each worker%n", slope);
        require(
                last.placementsPerSecond() >= PLACEMENTS_PER_SECOND,
                "at least " + PLACEMENTS_PER_SECOND + " placements a second at " + last.workers() + " workers",
                broken);
    }

    /** Makes a scenario for a planner. */
    private interface Maker {
        Scenario make(long seed, Supplier<Planner> planners);
    }

    private static void compare(String site, long seed, Maker maker, List<String> broken) {
        Measures naive = SiteModel.run(maker.make(seed, FirstFitPlanner::create));
        Measures chosen = SiteModel.run(maker.make(seed, ScoredPlanner::create));
        Measures pulling = SiteModel.run(maker.make(seed, ScoredPlanner::createPullBased));
        System.out.printf(
                Locale.ROOT, "%n%-42s %14s %14s %14s%n", site + ", seed " + seed, "naive", "chosen", "chosen, pull");
        row("services' slowdown p50", naive, chosen, pulling, Measures::serviceP50);
        row("services' slowdown p99", naive, chosen, pulling, Measures::serviceP99);
        row("batch work finished, processor seconds", naive, chosen, pulling, Measures::workFinished);
        row("batch jobs finished", naive, chosen, pulling, Measures::jobsFinished);
        row("evictions", naive, chosen, pulling, Measures::evictions);
        row("tasks that lost their worker", naive, chosen, pulling, Measures::losses);
        row("work lost to stops, processor seconds", naive, chosen, pulling, Measures::workLostToStops);
        row("work lost to faults, processor seconds", naive, chosen, pulling, Measures::workLostToFaults);
        row("missed deadlines", naive, chosen, pulling, Measures::missedDeadlines);
        row("deadlines", naive, chosen, pulling, Measures::deadlines);
        row("peak committed draw, W", naive, chosen, pulling, measures -> measures.peakMilliwatts() / 1000);
        row("peak true draw, W", naive, chosen, pulling, measures -> measures.peakTrueMilliwatts() / 1000);
        row("above the unchanged cap, ms", naive, chosen, pulling, Measures::aboveCapMillis);
        row("above the lowered cap, ms", naive, chosen, pulling, Measures::aboveLoweredCapMillis);
        row("urgent jobs' wait p99, ms", naive, chosen, pulling, Measures::urgentStartP99Millis);
        row("jobs' wait p50, ms", naive, chosen, pulling, Measures::waitP50Millis);
        row("named unrunnable", naive, chosen, pulling, Measures::unrunnable);
        row("refused commands", naive, chosen, pulling, Measures::refusals);
        check(site, naive, chosen, broken);
    }

    private static void check(String site, Measures naive, Measures chosen, List<String> broken) {
        require(
                chosen.serviceP99() - 1 <= (naive.serviceP99() - 1) / 2,
                site + ": services' excess slowdown at p99 is at most half of the naive one's",
                broken);
        require(
                chosen.workFinished() >= 0.95 * naive.workFinished(),
                site + ": batch work finished is at least 0.95 of the naive one's",
                broken);
        require(
                chosen.missedDeadlines() <= naive.missedDeadlines(),
                site + ": missed deadlines are at most the naive one's",
                broken);
        require(
                chosen.workLostToStops() <= 0.02 * chosen.workFinished(),
                site + ": work lost to evictions is at most 2% of the work finished",
                broken);
        require(chosen.aboveLoweredCapMillis() <= 30_000, site + ": the lowered cap is met within 30 s", broken);
        require(
                chosen.urgentStartP99Millis() <= URGENT_START_MILLIS,
                site + ": urgent jobs run within " + URGENT_START_MILLIS + " ms at p99",
                broken);
        require(chosen.aboveCapMillis() == 0, site + ": the unchanged cap is never exceeded", broken);
    }

    private static void require(boolean holds, String bound, List<String> broken) {
        if (!holds) {
            broken.add(bound);
        }
    }

    private static void row(
            String name, Measures naive, Measures chosen, Measures pulling, Function<Measures, Number> reader) {
        System.out.printf(
                Locale.ROOT,
                "%-42s %14.3f %14.3f %14.3f%n",
                name,
                reader.apply(naive).doubleValue(),
                reader.apply(chosen).doubleValue(),
                reader.apply(pulling).doubleValue());
    }
}
