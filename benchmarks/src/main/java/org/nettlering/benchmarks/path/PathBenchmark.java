package org.nettlering.benchmarks.path;

import io.vertx.core.net.SocketAddress;
import java.io.PrintStream;
import java.time.Duration;
import java.util.Locale;
import org.HdrHistogram.Histogram;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.load.ClosedLoop;
import org.nettlering.standins.site.EntryHost;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.ManagedProcess;
import org.nettlering.standins.site.ProcessCounters;
import org.nettlering.standins.site.SiteClient;
import org.nettlering.standins.site.SiteSetup;
import org.nettlering.standins.site.Waiting;

/**
 * Measures the path of a request on a local site of three controls, one entry and one upstream stand-in.
 *
 * <p>Calls to the stand-in and calls through the entry alternate in blocks, so that both see the same machine. The
 * processor time is the entry's own, as the operating system counts it. Not thread-safe.
 */
public final class PathBenchmark {
    private static final int CONTROLS = 3;
    private static final int BLOCKS = 40;
    private static final int REQUESTS_PER_BLOCK = 250;
    private static final int WARM_UP_REQUESTS = 10_000;
    private static final int THROUGHPUT_REQUESTS = 40_000;
    private static final int THROUGHPUT_CONNECTIONS = 8;
    private static final long MEMORY_BOUND_MEBIBYTES = 256;
    private static final Duration LIMIT = Duration.ofSeconds(30);
    private static final String PATH = "/previews/1";

    /** Where the table goes. */
    private final PrintStream output;

    /** Creates a benchmark that prints to standard output. */
    public PathBenchmark() {
        this(System.out);
    }

    private PathBenchmark(PrintStream output) {
        this.output = output;
    }

    /**
     * Runs the benchmark.
     *
     * @param arguments none are known, not null
     * @return 0 if every program is within its memory and no request failed, else 1
     */
    public int run(String[] arguments) {
        try (LocalSite site = LocalSite.create(CONTROLS, 1, 1)) {
            Duration ready = site.startSystem();
            site.startUpstream("upstream-1", "domain-1", 0);
            SiteSetup.configure(site.operator());
            SiteClient client = site.client();
            EntryHost entry = site.entries().getFirst();
            Waiting.until("an answer through the entry", LIMIT, () -> client.answers(entry.callers(), PATH));
            print("start until the entry is ready", ready.toMillis() + " ms");
            int failed = compare(site, Addresses.parse(entry.callers()));
            failed += measureThroughput(site, Addresses.parse(entry.callers()));
            print("requests that failed", failed);
            return isWithinMemory(site) && failed == 0 ? 0 : 1;
        }
    }

    private int compare(LocalSite site, SocketAddress entry) {
        SocketAddress upstream = Addresses.parse(site.upstreamAddress("upstream-1"));
        ClosedLoop direct = ClosedLoop.create(site.vertx(), upstream, PATH, 1);
        ClosedLoop through = ClosedLoop.create(site.vertx(), entry, PATH, 1);
        direct.run(WARM_UP_REQUESTS);
        through.run(WARM_UP_REQUESTS);
        direct.takeLatencyMicros();
        through.takeLatencyMicros();
        for (int block = 0; block < BLOCKS; block++) {
            direct.run(REQUESTS_PER_BLOCK);
            through.run(REQUESTS_PER_BLOCK);
        }
        Histogram directMicros = direct.takeLatencyMicros();
        Histogram throughMicros = through.takeLatencyMicros();
        printLatency("p50", directMicros, throughMicros, 50.0);
        printLatency("p99", directMicros, throughMicros, 99.0);
        return direct.failed() + through.failed();
    }

    private void printLatency(String name, Histogram direct, Histogram through, double percentile) {
        long directMicros = direct.getValueAtPercentile(percentile);
        long throughMicros = through.getValueAtPercentile(percentile);
        print(
                "latency " + name,
                String.format(
                        Locale.ROOT,
                        "%d us direct, %d us through the entry, %d us added",
                        directMicros,
                        throughMicros,
                        throughMicros - directMicros));
    }

    private int measureThroughput(LocalSite site, SocketAddress entry) {
        ManagedProcess process = site.process("entry-1");
        ClosedLoop loop = ClosedLoop.create(site.vertx(), entry, PATH, THROUGHPUT_CONNECTIONS);
        loop.run(WARM_UP_REQUESTS);
        ProcessCounters before = process.counters();
        long nanos = loop.run(THROUGHPUT_REQUESTS);
        ProcessCounters used = process.counters().since(before);
        double perSecond = THROUGHPUT_REQUESTS * 1e9 / nanos;
        double perCoreSecond = THROUGHPUT_REQUESTS * 1e3 / used.processorMillis();
        print("requests per second", String.format(Locale.ROOT, "%.0f over 8 connections", perSecond));
        print(
                "requests per core-second of entry",
                String.format(
                        Locale.ROOT, "%.0f (%.0f us of processor time a request)", perCoreSecond, 1e6 / perCoreSecond));
        return loop.failed();
    }

    private boolean isWithinMemory(LocalSite site) {
        boolean within = true;
        for (ManagedProcess process : site.running()) {
            long mebibytes = process.residentMebibytes();
            print("resident memory of " + process.name(), mebibytes + " MB");
            boolean program = !process.name().startsWith("upstream");
            within &= !program || mebibytes <= MEMORY_BOUND_MEBIBYTES;
        }
        return within;
    }

    private void print(String name, Object value) {
        output.println(String.format(Locale.ROOT, "%-36s %s", name, value));
    }
}
