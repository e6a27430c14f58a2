package org.nettlering.standins.demo;

import java.io.PrintStream;
import java.time.Duration;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.relay.CuttingRelay;
import org.nettlering.standins.relay.RelayFault;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.Waiting;

/**
 * Cuts a worker off silently while it runs tasks, and heals the network after its lease ran out.
 *
 * <p>Stateless.
 */
final class WorkerPartitionScenario implements DemoScenario {
    private static final int JOBS = 6;
    private static final long JOB_SECONDS = 20;
    private static final Duration BEFORE_PARTITION = Duration.ofSeconds(5);
    private static final Duration PARTITION = Duration.ofSeconds(18);

    @Override
    public Verdict run(PrintStream progress) {
        Verdict verdict = new Verdict();
        try (LocalSite site = LocalSite.create(3, 1, 1)) {
            progress.println("Files and logs: " + site.folder());
            site.startSystem();
            site.startUpstream("upstream-1", "domain-1", 5);
            ScenarioSteps.configure(site);
            String platform = site.entries().getFirst().platform();
            CuttingRelay relay = CuttingRelay.create(site.vertx(), site.time(), Addresses.parse(platform));
            int port =
                    Waiting.forAnswer("a port for the relay", PARTITION, relay.listen(Addresses.parse("127.0.0.1:0")));
            site.startWorker("worker-1", "rack-1", "domain-1", "127.0.0.1:" + port);
            ScenarioSteps.join(ScenarioSteps.submitJobs(site, JOBS, JOB_SECONDS));
            Waiting.pause(BEFORE_PARTITION);
            site.startWorker("worker-2", "rack-2", "domain-2");
            progress.println("Cutting worker-1 off silently.");
            relay.inject(new RelayFault.BlackHole());
            Waiting.pause(PARTITION);
            progress.println("Healing the network.");
            relay.inject(new RelayFault.Cut());
            relay.inject(new RelayFault.None());
            ScenarioSteps.judgeJobs(site, verdict, JOBS, progress);
            int expired = site.journals().expiredTasks();
            verdict.check("tasks that ended with their lease", expired, expired > 0);
            ScenarioSteps.judgeTasks(verdict, site.journals());
        }
        return verdict;
    }
}
