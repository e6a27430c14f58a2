package org.nettlering.standins.demo;

import java.io.PrintStream;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.nettlering.standins.http.Addresses;
import org.nettlering.standins.load.LoadPlan;
import org.nettlering.standins.load.LoadResult;
import org.nettlering.standins.load.Outcome;
import org.nettlering.standins.relay.CuttingRelay;
import org.nettlering.standins.relay.RelayFault;
import org.nettlering.standins.site.ControlHost;
import org.nettlering.standins.site.LocalSite;
import org.nettlering.standins.site.SiteClient;
import org.nettlering.standins.site.Waiting;

/**
 * Cuts an entry off from all control processes silently: it has to turn unready and shed requests as not run.
 *
 * <p>Stateless.
 */
final class EntryPartitionScenario implements DemoScenario {
    private static final LoadPlan LOAD = new LoadPlan("shed", "/previews/1", 100, 50, 5, 1, Duration.ofSeconds(2));
    private static final Duration UNREADY_LIMIT = Duration.ofSeconds(4);
    private static final Duration POLLING_ALLOWANCE = Duration.ofMillis(500);
    private static final Duration LIMIT = Duration.ofSeconds(20);

    @Override
    public Verdict run(PrintStream progress) {
        Verdict verdict = new Verdict();
        try (LocalSite site = LocalSite.create(3, 1, 1)) {
            progress.println("Files and logs: " + site.folder());
            Map<String, String> addresses = new LinkedHashMap<>();
            List<CuttingRelay> relays = site.controls().stream()
                    .map(host -> startRelay(site, host, addresses))
                    .toList();
            site.useControlAddresses(addresses);
            site.startSystem();
            site.startUpstream("upstream-1", "domain-1", 5);
            ScenarioSteps.configure(site);
            SiteClient client = site.client();
            String operators = site.entries().getFirst().operators();
            progress.println("Cutting the entry off from all control processes.");
            relays.forEach(relay -> relay.inject(new RelayFault.BlackHole()));
            Duration unready = Waiting.until("an unready entry", LIMIT, () -> !client.answers(operators, "/ready"));
            verdict.check(
                    "unready after the cut",
                    unready.toMillis() + " ms",
                    unready.compareTo(UNREADY_LIMIT.plus(POLLING_ALLOWANCE)) <= 0);
            LoadResult shed = ScenarioSteps.await(ScenarioSteps.startLoad(site, LOAD));
            verdict.check(
                    "requests shed as not run",
                    shed.count(Outcome.NOT_RUN) + " of " + LOAD.requests() + " " + shed.errors(),
                    shed.count(Outcome.NOT_RUN) == LOAD.requests());
            progress.println("Healing the network.");
            relays.forEach(relay -> relay.inject(new RelayFault.None()));
            Duration ready = Waiting.until("a ready entry", LIMIT, () -> client.answers(operators, "/ready"));
            verdict.report("ready after the network healed", ready.toMillis() + " ms");
            ScenarioSteps.judgeJournals(verdict, site.journals(), shed);
        }
        return verdict;
    }

    private static CuttingRelay startRelay(LocalSite site, ControlHost host, Map<String, String> addresses) {
        CuttingRelay relay = CuttingRelay.create(site.vertx(), site.time(), Addresses.parse(host.peers()));
        int port = Waiting.forAnswer("a port for a relay", LIMIT, relay.listen(Addresses.parse("127.0.0.1:0")));
        addresses.put(host.id(), "127.0.0.1:" + port);
        return relay;
    }
}
