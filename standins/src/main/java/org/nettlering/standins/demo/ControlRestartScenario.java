package org.nettlering.standins.demo;

import io.vertx.core.Future;
import java.io.PrintStream;
import java.time.Duration;
import org.nettlering.standins.load.LoadPlan;
import org.nettlering.standins.load.LoadResult;
import org.nettlering.standins.load.Outcome;
import org.nettlering.standins.site.ControlHost;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.Waiting;

/**
 * Kills all control processes under load and starts them again on their data folders.
 *
 * <p>Stateless.
 */
final class ControlRestartScenario implements DemoScenario {
    private static final int JOBS = 8;
    private static final long JOB_SECONDS = 8;
    private static final LoadPlan LOAD = new LoadPlan("load", "/previews/1", 600, 40, 5, 20, Duration.ofSeconds(2));
    private static final Duration BEFORE_KILL = Duration.ofSeconds(6);
    private static final Duration OUTAGE = Duration.ofSeconds(2);

    @Override
    public Verdict run(PrintStream progress) {
        Verdict verdict = new Verdict();
        try (LocalSite site = LocalSite.create(3, 2, 2)) {
            progress.println("Files and logs: " + site.folder());
            site.startSystem();
            site.startUpstream("upstream-1", "domain-1", 5);
            site.startUpstream("upstream-2", "domain-2", 5);
            site.startWorker("worker-1", "rack-1", "domain-1");
            site.startWorker("worker-2", "rack-2", "domain-2");
            ScenarioSteps.configure(site);
            long revision = site.client().revision();
            Future<LoadResult> load = ScenarioSteps.startLoad(site, LOAD);
            ScenarioSteps.join(ScenarioSteps.submitJobs(site, JOBS, JOB_SECONDS));
            Waiting.pause(BEFORE_KILL);
            progress.println("Killing all control processes, then starting them again.");
            for (ControlHost host : site.controls()) {
                site.process(host.id()).kill();
            }
            Waiting.pause(OUTAGE);
            site.controls().forEach(site::startControl);
            LoadResult result = ScenarioSteps.await(load);
            ScenarioSteps.judgeJobs(site, verdict, JOBS, progress);
            long after = site.client().revision();
            verdict.check("configuration revision", after + ", before " + revision, after == revision);
            verdict.report("requests answered", result.count(Outcome.ANSWERED) + " of " + LOAD.requests());
            verdict.report("requests not run", result.count(Outcome.NOT_RUN));
            verdict.report("requests unknown", result.count(Outcome.UNKNOWN));
            verdict.report("errors of attempts", result.errors());
            ScenarioSteps.judgeJournals(verdict, site.journals(), result);
        }
        return verdict;
    }
}
