package org.nettlering.entry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.IntSupplier;

/** The metrics of the entry process. Thread-safe. */
public final class EntryMetrics {
    private final PrometheusRegistry registry;

    /** Requests by service and result. */
    private final Counter requests;

    private final Counter attempts;

    /** Requests without a complete response of an upstream, by error code and outcome. */
    private final Counter failures;

    /** Rejected input from callers and upstreams, by kind of fault. */
    private final Counter rejectedInput;

    /** Replacements of the connections to an upstream. */
    private final Counter replacedConnections;

    /** The time from the head of a request to the end of its response, by service. */
    private final Histogram responseSeconds;

    /**
     * Registers the metrics, except the gauges.
     *
     * @param registry the registry, not null
     * @return the metrics, never null
     */
    public static EntryMetrics registerIn(PrometheusRegistry registry) {
        return new EntryMetrics(registry);
    }

    private EntryMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        requests = Counter.builder()
                .name("nettlering_entry_requests_total")
                .help("Requests by service and end.")
                .labelNames("service", "end")
                .register(registry);
        attempts = Counter.builder()
                .name("nettlering_entry_attempts_total")
                .help("Attempts at upstreams.")
                .labelNames("service")
                .register(registry);
        failures = Counter.builder()
                .name("nettlering_entry_refusals_total")
                .help("Requests without an upstream's answer, by code and outcome.")
                .labelNames("code", "outcome")
                .register(registry);
        rejectedInput = Counter.builder()
                .name("nettlering_entry_invalid_input_total")
                .help("Input from outside that was refused.")
                .labelNames("kind")
                .register(registry);
        replacedConnections = Counter.builder()
                .name("nettlering_entry_replaced_connections_total")
                .help("Times that an upstream's connections were replaced because one went silent.")
                .register(registry);
        responseSeconds = Histogram.builder()
                .name("nettlering_entry_response_seconds")
                .help("Time from a request's head to the end of its answer.")
                .labelNames("service")
                .register(registry);
    }

    /**
     * Registers the gauges, which are read at each scrape.
     *
     * @param inFlight supplies the number of requests in flight, not null
     * @param queued supplies the number of requests that are queued for a slot, not null
     */
    public void registerGauges(IntSupplier inFlight, IntSupplier queued) {
        GaugeWithCallback.builder()
                .name("nettlering_entry_in_flight")
                .help("Requests in flight.")
                .callback(callback -> callback.call(inFlight.getAsInt()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("nettlering_entry_waiting")
                .help("Requests that wait for a slot.")
                .callback(callback -> callback.call(queued.getAsInt()))
                .register(registry);
    }

    /**
     * Records a complete response.
     *
     * @param service the name of the service, not null
     * @param seconds the time from the head of the request to the end of the response, in seconds
     */
    public void recordResponse(String service, double seconds) {
        requests.labelValues(service, "answered").inc();
        responseSeconds.labelValues(service).observe(seconds);
    }

    /**
     * Records a request that failed or whose response is incomplete.
     *
     * @param service the name of the service, empty if no service matched the request, not null
     * @param code the error code, not null
     * @param outcome whether the request was run, as far as is known, not null
     */
    public void recordFailure(String service, String code, String outcome) {
        requests.labelValues(service, outcome).inc();
        failures.labelValues(code, outcome).inc();
    }

    /**
     * Records an attempt at an upstream.
     *
     * @param service the name of the service, not null
     */
    public void recordAttempt(String service) {
        attempts.labelValues(service).inc();
    }

    /**
     * Records rejected input.
     *
     * @param kind the kind of fault, not null
     */
    public void recordInvalidInput(String kind) {
        rejectedInput.labelValues(kind).inc();
    }

    /** Records that the connections to an upstream were replaced. */
    public void recordConnectionsReplaced() {
        replacedConnections.inc();
    }
}
