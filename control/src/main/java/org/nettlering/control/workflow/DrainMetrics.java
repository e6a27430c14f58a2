package org.nettlering.control.workflow;

import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.Locale;
import java.util.Map;
import org.nettlering.domain.workflow.Evacuations;
import org.nettlering.domain.workflow.drain.DrainDecision;

/** The metrics of evacuated failure domains and of hosts that are to be emptied. Thread-safe. */
final class DrainMetrics {
    private final Gauge evacuatedDomains;

    private final Gauge runs;

    static DrainMetrics registerIn(PrometheusRegistry registry) {
        return new DrainMetrics(registry);
    }

    private DrainMetrics(PrometheusRegistry registry) {
        evacuatedDomains = Gauge.builder()
                .name("nettlering_leader_evacuated_failure_domains")
                .help("Failure domains that are being evacuated.")
                .register(registry);
        runs = Gauge.builder()
                .name("nettlering_leader_draining_runs")
                .help("Runs left on hosts that are to be emptied, by what happens to them.")
                .labelNames("decision")
                .register(registry);
    }

    void record(Evacuations evacuations, Map<String, Map<DrainDecision, Integer>> runsByDomain) {
        evacuatedDomains.set(evacuations.failureDomains().size());
        for (DrainDecision decision : DrainDecision.values()) {
            int count = runsByDomain.values().stream()
                    .mapToInt(byDecision -> byDecision.getOrDefault(decision, 0))
                    .sum();
            runs.labelValues(decision.name().toLowerCase(Locale.ROOT)).set(count);
        }
    }
}
