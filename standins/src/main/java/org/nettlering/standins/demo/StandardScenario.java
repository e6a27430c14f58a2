package org.nettlering.standins.demo;

import io.vertx.core.Future;
import java.io.PrintStream;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.stream.IntStream;
import org.nettlering.domain.error.ErrorCode;
import org.nettlering.domain.error.NettleringException;
import org.nettlering.standins.journal.JournalCheck;
import org.nettlering.standins.load.CallerLoad;
import org.nettlering.standins.load.LoadPlan;
import org.nettlering.standins.load.LoadResult;
import org.nettlering.standins.load.Outcome;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.ManagedProcess;
import org.nettlering.standins.site.OperatorProgram;
import org.nettlering.standins.site.SiteClient;
import org.nettlering.standins.site.SiteSetup;
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
    private static final Duration LOAD_LIMIT = Duration.ofSeconds(90);
    private static final Duration JOBS_LIMIT = Duration.ofSeconds(60);
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(20);
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
            judgeJournals(verdict, site.journals(), result);
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
        SiteSetup.configure(site.operator());
        Waiting.until("an answer at every entry", SERVICE_LIMIT, () -> isServing(site));
    }

    private static boolean isServing(LocalSite site) {
        SiteClient client = site.client();
        return site.entries().stream().allMatch(entry -> client.answers(entry.callers(), "/previews/probe"));
    }

    private LoadResult breakUnderLoad(LocalSite site, Verdict verdict) {
        await(CallerLoad.create(site.time(), site.vertx(), site.callerPorts(), WARM_UP)
                .start());
        progress.println("Sending " + LOAD.requests() + " requests and " + JOBS + " jobs.");
        Future<LoadResult> load = CallerLoad.create(site.time(), site.vertx(), site.callerPorts(), LOAD)
                .start();
        Thread submitter = Thread.ofPlatform().start(() -> submitJobs(site));
        Waiting.pause(BEFORE_LEADER_KILL);
        String leader = site.client()
                .leader()
                .orElseThrow(() -> new NettleringException(ErrorCode.NO_LEADER, "no entry names a leader"));
        progress.println("Killing the control leader " + leader + ".");
        site.process(leader).kill();
        Waiting.pause(BEFORE_ENTRY_KILL);
        progress.println("Killing entry-2.");
        site.process("entry-2").kill();
        LoadResult result = await(load);
        join(submitter);
        judgeJobs(site, verdict);
        return result;
    }

    private void submitJobs(LocalSite site) {
        OperatorProgram operator = site.operator();
        IntStream.rangeClosed(1, JOBS)
                .parallel()
                .forEach(number -> SiteSetup.submitJob(operator, "proof-" + number, JOB_SECONDS));
    }

    private void judgeJobs(LocalSite site, Verdict verdict) {
        SiteClient client = site.client();
        try {
            Waiting.until("the end of all jobs", JOBS_LIMIT, () -> countDone(client) == JOBS);
        } catch (NettleringException late) {
            progress.println(late.getMessage());
            client.jobs()
                    .forEach(job -> progress.println(
                            "  " + job.getJob().getJobId() + " " + job.getState() + " on " + job.getWorkerId()));
        }
        long done = countDone(client);
        verdict.check("jobs done", done + " of " + JOBS, done == JOBS);
    }

    private static long countDone(SiteClient client) {
        return client.jobs().stream()
                .filter(job -> "done".equals(job.getState()))
                .count();
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
        verdict.check("wrong or cut answers", result.count(Outcome.WRONG), result.count(Outcome.WRONG) == 0);
        verdict.report(
                "latency p50 / p99",
                String.format(
                        Locale.ROOT, "%.1f ms / %.1f ms", result.latencyMillis(50.0), result.latencyMillis(99.0)));
    }

    private static void judgeJournals(Verdict verdict, JournalCheck journals, LoadResult result) {
        int duplicates = journals.duplicateKeys().size();
        verdict.check("non-idempotent requests run twice", duplicates, duplicates == 0);
        int lies = journals.ranDespiteNotRun(result.notRunAttempts()).size();
        verdict.check("run although called not run", lies, lies == 0);
        boolean allRan = journals.keysThatRan().containsAll(result.answeredKeys());
        verdict.check("answered keys that ran", result.answeredKeys().size(), allRan);
        int overlaps = journals.overlappingJobs().size();
        verdict.check("jobs in two places", overlaps, overlaps == 0);
        int twice = journals.jobsCompletedTwice().size();
        verdict.check("jobs completed twice", twice, twice == 0);
        long peakWatts = journals.peakMilliwatts() / 1_000;
        verdict.check(
                "peak power",
                peakWatts + " W of " + SiteSetup.POWER_CAP_WATTS + " W",
                peakWatts <= SiteSetup.POWER_CAP_WATTS);
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
        stop(site, "upstream-");
        stop(site, "worker-");
        failed.addAll(stop(site, "entry-"));
        failed.addAll(stop(site, "control-"));
        verdict.check("programs that did not stop gracefully", failed, failed.isEmpty());
    }

    private static List<String> stop(LocalSite site, String prefix) {
        return site.stopGracefully(site.running().stream()
                .map(ManagedProcess::name)
                .filter(name -> name.startsWith(prefix))
                .toList());
    }

    private static LoadResult await(Future<LoadResult> load) {
        return Waiting.forAnswer("the end of the load", LOAD_LIMIT, load);
    }

    private static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new NettleringException(ErrorCode.STOPPING, "interrupted", exception);
        }
    }
}
