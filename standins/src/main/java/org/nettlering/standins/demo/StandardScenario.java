package org.nettlering.standins.demo;

import io.vertx.core.Future;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.nettlering.standins.load.LoadPlan;
import org.nettlering.standins.load.LoadResult;
import org.nettlering.standins.load.Outcome;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.ManagedProcess;
import org.nettlering.standins.site.Waiting;

/**
 * The default demonstration: some hundred requests and a dozen jobs, while a control leader and an entry are killed.
 *
 * <p>Not thread-safe.
 */
final class StandardScenario implements DemoScenario {
    private static final int CONTROLS = 3;
    private static final int ENTRIES = 2;
    private static final int UPSTREAMS = 4;
    private static final int WORKERS = 4;
    private static final int JOBS = 12;
    private static final long JOB_SECONDS = 4;
    private static final long UPSTREAM_DELAY_MILLIS = 10;
    private static final LoadPlan WARM_UP = new LoadPlan("warm", "/previews/1", 50, 50, 5, 5, Duration.ofSeconds(2));
    private static final LoadPlan LOAD = new LoadPlan("load", "/previews/1", 600, 60, 5, 8, Duration.ofSeconds(2));
    private static final Duration BEFORE_LEADER_KILL = Duration.ofSeconds(2);
    private static final Duration BEFORE_ENTRY_KILL = Duration.ofSeconds(3);
    private static final long MEMORY_BOUND_MEBIBYTES = 256;
    private static final double LEAST_ANSWERED_SHARE = 0.95;

    /** Where progress is printed. */
    private PrintStream progress = System.out;

    @Override
    public Verdict run(PrintStream output) {
        progress = output;
        Verdict verdict = new Verdict();
        try (LocalSite site = LocalSite.create(CONTROLS, ENTRIES, UPSTREAMS)) {
            progress.println("Files and logs: " + site.folder());
            start(site, verdict);
            LoadResult result = breakUnderLoad(site, verdict);
            judgeRequests(verdict, result);
            judgeMemory(verdict, site);
            judgeStop(verdict, site);
            ScenarioSteps.judgeJournals(verdict, site.journals(), result);
        }
        return verdict;
    }

    private void start(LocalSite site, Verdict verdict) {
        Duration ready = site.startSystem();
        verdict.report("start until all entries are ready", ready.toMillis() + " ms");
        for (int number = 1; number <= UPSTREAMS; number++) {
            site.startUpstream("upstream-" + number, "domain-" + (number % CONTROLS + 1), UPSTREAM_DELAY_MILLIS);
        }
        for (int number = 1; number <= WORKERS; number++) {
            site.startWorker("worker-" + number, "rack-" + (number % 2 + 1), "domain-" + (number % CONTROLS + 1));
        }
        progress.println("Started; putting in profiles, a service, a team and a power cap.");
        ScenarioSteps.configure(site);
    }

    private LoadResult breakUnderLoad(LocalSite site, Verdict verdict) {
        ScenarioSteps.await(ScenarioSteps.startLoad(site, WARM_UP));
        progress.println("Sending " + LOAD.requests() + " requests and " + JOBS + " jobs.");
        Future<LoadResult> load = ScenarioSteps.startLoad(site, LOAD);
        Thread submitter = ScenarioSteps.submitJobs(site, JOBS, JOB_SECONDS);
        Waiting.pause(BEFORE_LEADER_KILL);
        String leader = ScenarioSteps.leaderOf(site);
        progress.println("Killing the control leader " + leader + ".");
        site.process(leader).kill();
        Waiting.pause(BEFORE_ENTRY_KILL);
        progress.println("Killing entry-2.");
        site.process("entry-2").kill();
        LoadResult result = ScenarioSteps.await(load);
        ScenarioSteps.join(submitter);
        ScenarioSteps.judgeJobs(site, verdict, JOBS, progress);
        return result;
    }

    private static void judgeRequests(Verdict verdict, LoadResult result) {
        int answered = result.count(Outcome.ANSWERED);
        verdict.check(
                "requests answered",
                answered + " of " + LOAD.requests() + " in " + result.attempts() + " attempts",
                answered >= LOAD.requests() * LEAST_ANSWERED_SHARE);
        verdict.report("requests not run", result.count(Outcome.NOT_RUN));
        verdict.report("requests unknown", result.count(Outcome.UNKNOWN));
        verdict.report("errors of attempts", result.errors());
        verdict.report(
                "latency p50 / p99",
                String.format(
                        Locale.ROOT, "%.1f ms / %.1f ms", result.latencyMillis(50.0), result.latencyMillis(99.0)));
    }

    private static void judgeMemory(Verdict verdict, LocalSite site) {
        for (ManagedProcess process : site.running()) {
            if (process.name().startsWith("control-") || process.name().startsWith("entry-")) {
                long mebibytes = process.residentMebibytes();
                verdict.check(
                        "resident memory of " + process.name(), mebibytes + " MB", mebibytes <= MEMORY_BOUND_MEBIBYTES);
            }
        }
    }

    private void judgeStop(Verdict verdict, LocalSite site) {
        progress.println("Stopping everything gracefully.");
        List<String> failed = new ArrayList<>();
        ScenarioSteps.stop(site, "upstream-");
        ScenarioSteps.stop(site, "worker-");
        failed.addAll(ScenarioSteps.stop(site, "entry-"));
        failed.addAll(ScenarioSteps.stop(site, "control-"));
        verdict.check("programs that did not stop gracefully", failed, failed.isEmpty());
    }
}
