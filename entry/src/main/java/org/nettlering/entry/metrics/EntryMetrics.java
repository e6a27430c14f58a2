package org.nettlering.entry.metrics;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.IntSupplier;

/** The counters of the entry process. Thread-safe. */
public final class EntryMetrics {
    /** Where the counters are registered. */
    private final PrometheusRegistry registry;

    /** Requests by service and how they ended. */
    private final Counter requests;

    /** Attempts at upstreams, by service. */
    private final Counter attempts;

    /** Requests without an answer of an upstream, by error code and outcome. */
    private final Counter failures;

    /** Input from outside that was refused, by kind. */
    private final Counter invalidInput;

    /** Upstreams whose connections were replaced. */
    private final Counter replacedConnections;

    /** The time from a request's head to the end of its answer, by service. */
    private final Histogram responseSeconds;

    /**
     * Registers the counters.
     *
     * @param registry where to register them, not null
     * @return the counters, never null
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
        invalidInput = Counter.builder()
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
     * Shows counts that are read when they are asked for.
     *
     * @param inFlight the requests in flight, not null
     * @param queued the requests that wait for a slot, not null
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
     * Counts an answered request.
     *
     * @param service the name of the service, not null
     * @param seconds the time it took
     */
    public void recordResponse(String service, double seconds) {
        requests.labelValues(service, "answered").inc();
        responseSeconds.labelValues(service).observe(seconds);
    }

    /**
     * Counts a request that ended without a whole answer.
     *
     * @param service the name of the service, empty if none was found, not null
     * @param code the error code, not null
     * @param outcome what is known, not null
     */
    public void recordFailure(String service, String code, String outcome) {
        requests.labelValues(service, outcome).inc();
        failures.labelValues(code, outcome).inc();
    }

    /**
     * Counts an attempt.
     *
     * @param service the name of the service, not null
     */
    public void recordAttempt(String service) {
        attempts.labelValues(service).inc();
    }

    /**
     * Counts input that was refused.
     *
     * @param kind the kind of fault, not null
     */
    public void invalidInput(String kind) {
        invalidInput.labelValues(kind).inc();
    }

    /** Counts that an upstream's connections were replaced. */
    public void recordConnectionsReplaced() {
        replacedConnections.inc();
    }
}
