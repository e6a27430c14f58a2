package org.nettlering.standins.demo;

import io.vertx.core.Future;
import java.io.PrintStream;
import java.time.Duration;
import java.util.List;
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

/** The steps that the demonstrations share. */
final class ScenarioSteps {
    private static final Duration LOAD_LIMIT = Duration.ofSeconds(90);
    private static final Duration JOBS_LIMIT = Duration.ofSeconds(90);
    private static final Duration SERVICE_LIMIT = Duration.ofSeconds(20);
    private static final String DONE = "done";

    private ScenarioSteps() {}

    /** Puts in the first configuration and waits until every entry serves it. */
    static void configure(LocalSite site) {
        SiteSetup.configure(site.operator());
        Waiting.until("an answer at every entry", SERVICE_LIMIT, () -> isServing(site));
    }

    private static boolean isServing(LocalSite site) {
        SiteClient client = site.client();
        return site.entries().stream().allMatch(entry -> client.answers(entry.callers(), "/previews/probe"));
    }

    static Future<LoadResult> startLoad(LocalSite site, LoadPlan plan) {
        return CallerLoad.create(site.time(), site.vertx(), site.callerPorts(), plan)
                .start();
    }

    static LoadResult await(Future<LoadResult> load) {
        return Waiting.forAnswer("the end of the load", LOAD_LIMIT, load);
    }

    /** Submits jobs through the operators' program, all of them at once, and returns the thread that does it. */
    static Thread submitJobs(LocalSite site, int count, long seconds) {
        OperatorProgram operator = site.operator();
        return Thread.ofPlatform()
                .start(() -> IntStream.rangeClosed(1, count)
                        .parallel()
                        .forEach(number -> SiteSetup.submitJob(operator, "proof-" + number, seconds)));
    }

    static void join(Thread thread) {
        try {
            thread.join();
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new NettleringException(ErrorCode.STOPPING, "interrupted", exception);
        }
    }

    static String leaderOf(LocalSite site) {
        return site.client()
                .leader()
                .orElseThrow(() -> new NettleringException(ErrorCode.NO_LEADER, "no entry names a leader"));
    }

    static void judgeJobs(LocalSite site, Verdict verdict, int jobs, PrintStream progress) {
        SiteClient client = site.client();
        try {
            Waiting.until("the end of all jobs", JOBS_LIMIT, () -> countDone(client) == jobs);
        } catch (NettleringException late) {
            progress.println(late.getMessage());
            client.jobs()
                    .forEach(job -> progress.println(
                            "  " + job.getJob().getJobId() + " " + job.getState() + " on " + job.getWorkerId()));
        }
        long done = countDone(client);
        verdict.check("jobs done", done + " of " + jobs, done == jobs);
    }

    private static long countDone(SiteClient client) {
        return client.jobs().stream().filter(job -> DONE.equals(job.getState())).count();
    }

    /** Compares what ran at the stand-ins with what callers were told. */
    static void judgeJournals(Verdict verdict, JournalCheck journals, LoadResult result) {
        verdict.check("wrong or cut answers", result.count(Outcome.WRONG), result.count(Outcome.WRONG) == 0);
        int duplicates = journals.duplicateKeys().size();
        verdict.check("non-idempotent requests run twice", duplicates, duplicates == 0);
        int lies = journals.ranDespiteNotRun(result.notRunAttempts()).size();
        verdict.check("run although called not run", lies, lies == 0);
        boolean allRan = journals.keysThatRan().containsAll(result.answeredKeys());
        verdict.check("answered keys that ran", result.answeredKeys().size(), allRan);
        judgeTasks(verdict, journals);
    }

    /** Checks the tasks alone. */
    static void judgeTasks(Verdict verdict, JournalCheck journals) {
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

    /** Stops the running processes whose names start alike and returns those that did not exit with 0. */
    static List<String> stop(LocalSite site, String prefix) {
        return site.stopGracefully(site.running().stream()
                .map(ManagedProcess::name)
                .filter(name -> name.startsWith(prefix))
                .toList());
    }
}
