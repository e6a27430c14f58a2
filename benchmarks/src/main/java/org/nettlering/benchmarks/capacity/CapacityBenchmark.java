package org.nettlering.benchmarks.capacity;

import java.io.PrintStream;
import java.time.Duration;
import java.util.Map;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.standins.load.CallerLoad;
import org.nettlering.standins.load.LoadPlan;
import org.nettlering.standins.load.LoadResult;
import org.nettlering.standins.load.Outcome;
import org.nettlering.standins.site.EntryHost;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.ManagedProcess;
import org.nettlering.standins.site.SiteClient;
import org.nettlering.standins.site.SiteSetup;
import org.nettlering.standins.site.Waiting;

/**
 * Measures what one unit of each kind of work costs an entry, the control leader and a control follower.
 *
 * <p>A local site of three controls and one entry serves simulated workers, upstreams, callers and operators. Each slope
 * is the difference between the site with the units and the same site without them. Not thread-safe.
 */
public final class CapacityBenchmark {
    private static final int CONTROLS = 3;
    private static final int FEW_WORKERS = 50;
    private static final int MANY_WORKERS = 250;
    private static final int JOBS = 1_000;
    private static final int UPSTREAMS = 300;
    private static final int ROUNDS = 10;
    private static final int CHANGES = 200;
    private static final int REQUESTS = 3_000;
    private static final int REQUESTS_PER_SECOND = 300;
    private static final long POWER_CAP_WATTS = 100_000;
    private static final Duration WINDOW = Duration.ofSeconds(10);
    private static final Duration SETTLING = Duration.ofSeconds(4);
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final Duration LOAD_LIMIT = Duration.ofMinutes(2);
    private static final String PATH = "/previews/1";

    /** The table. */
    private final SlopeTable table;

    /** Creates a benchmark that prints to standard output. */
    public CapacityBenchmark() {
        this(System.out);
    }

    private CapacityBenchmark(PrintStream output) {
        this.table = new SlopeTable(output);
    }

    /**
     * Runs the benchmark.
     *
     * @param arguments none are known, not null
     * @return 0 if every slope was measured
     */
    public int run(String[] arguments) {
        try (LocalSite site = LocalSite.create(CONTROLS, 1, 1)) {
            prepare(site);
            String leader = leaderOf(site);
            RoleMeter meter = RoleMeter.of(site, leader);
            table.printHeader();
            measureRequests(site, meter);
            measureAnnouncements(site, meter);
            measureChanges(site, meter);
            measureWorkers(site, meter);
            if (!leader.equals(leaderOf(site))) {
                throw new NettleringException(ErrorCode.INTERNAL, "the control leader changed during the run");
            }
        }
        return 0;
    }

    private static void prepare(LocalSite site) {
        site.startSystem();
        site.startUpstream("upstream-1", "domain-1", 0);
        SiteSetup.configure(site.operator(), POWER_CAP_WATTS);
        site.operator()
                .run("team", "put", SiteChanges.TEAM, "--millicores", "100000000", "--memory-mebibytes", "100000000");
        SiteClient client = site.client();
        EntryHost entry = site.entries().getFirst();
        Waiting.until("an answer through the entry", LIMIT, () -> client.answers(entry.callers(), PATH));
    }

    private static String leaderOf(LocalSite site) {
        return site.client()
                .leader()
                .orElseThrow(() -> new NettleringException(ErrorCode.NO_LEADER, "no entry names a leader"));
    }

    private void measureRequests(LocalSite site, RoleMeter meter) {
        load(site, "warm", 1);
        Waiting.pause(WINDOW);
        meter.measureIdle(WINDOW);
        table.printCosts("idle second", meter.idleSecond());
        meter.start();
        load(site, "plain", 0);
        table.printCosts("request without a key", meter.costOf(REQUESTS));
        Map<String, Long> before = HeapMeter.liveBytesOf(meter.roles());
        meter.start();
        load(site, "keyed", 1);
        table.printCosts("request with a key", meter.costOf(REQUESTS));
        table.printMemory("ledger key", before, HeapMeter.liveBytesOf(meter.roles()), REQUESTS);
    }

    private static void load(LocalSite site, String name, int nonIdempotentEvery) {
        LoadPlan plan =
                new LoadPlan(name, PATH, REQUESTS, REQUESTS_PER_SECOND, nonIdempotentEvery, 1, Duration.ofSeconds(5));
        CallerLoad load = CallerLoad.create(site.time(), site.vertx(), site.callerPorts(), plan);
        LoadResult result = Waiting.forAnswer("the end of the load " + name, LOAD_LIMIT, load.start());
        if (result.count(Outcome.ANSWERED) < REQUESTS) {
            throw new NettleringException(
                    ErrorCode.INTERNAL, "requests of the load " + name + " failed: " + result.errors());
        }
    }

    private void measureAnnouncements(LocalSite site, RoleMeter meter) {
        Map<String, Long> before = HeapMeter.liveBytesOf(meter.roles());
        SimulatedUpstreams upstreams = SimulatedUpstreams.of(site, UPSTREAMS);
        upstreams.announce(ROUNDS);
        meter.start();
        long announcements = upstreams.announce(ROUNDS);
        table.printCosts("announcement", meter.costOf(announcements));
        upstreams.announce(1);
        table.printMemory("upstream", before, HeapMeter.liveBytesOf(meter.roles()), UPSTREAMS);
    }

    private void measureChanges(LocalSite site, RoleMeter meter) {
        SiteChanges changes = SiteChanges.of(site);
        changes.changeConfiguration(CHANGES);
        meter.start();
        changes.changeConfiguration(CHANGES);
        table.printCosts("configuration change", meter.costOf(CHANGES));
    }

    private void measureWorkers(LocalSite site, RoleMeter meter) {
        SimulatedWorkers workers = SimulatedWorkers.of(site);
        workers.growTo(FEW_WORKERS);
        Waiting.pause(SETTLING);
        long fewResponses = workers.responses();
        meter.measureIdle(WINDOW);
        long perWindow = workers.responses() - fewResponses;
        Map<String, Long> before = HeapMeter.liveBytesOf(meter.roles());
        workers.growTo(MANY_WORKERS);
        Waiting.pause(SETTLING);
        long manyResponses = workers.responses();
        meter.start();
        Waiting.pause(WINDOW);
        long reports = workers.responses() - manyResponses - perWindow;
        table.printCosts("worker report, renewed lease", meter.costOf(reports));
        table.printMemory("worker", before, HeapMeter.liveBytesOf(meter.roles()), MANY_WORKERS - FEW_WORKERS);
        measureTasks(site, meter, workers);
        workers.stop();
    }

    private void measureTasks(LocalSite site, RoleMeter meter, SimulatedWorkers workers) {
        SiteChanges changes = SiteChanges.of(site);
        meter.measureIdle(WINDOW);
        Map<String, Long> before = HeapMeter.liveBytesOf(meter.roles());
        meter.start();
        changes.startJobs(JOBS, workers::started);
        table.printCosts("task submitted and started", meter.costOf(JOBS));
        Waiting.pause(SETTLING);
        long responses = workers.responses();
        meter.start();
        Waiting.pause(WINDOW);
        double reportsPerWorker = (double) (workers.responses() - responses) / MANY_WORKERS;
        table.printCosts("running task in a report", meter.costOf(Math.round(reportsPerWorker * JOBS)));
        table.printMemory("task", before, HeapMeter.liveBytesOf(meter.roles()), JOBS);
        for (ManagedProcess process : meter.roles().values()) {
            table.printLine("resident memory of " + process.name(), process.residentMebibytes() + " MB");
        }
    }
}
