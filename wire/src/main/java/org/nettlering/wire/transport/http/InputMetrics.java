package org.nettlering.wire.transport.http;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts what the limits on clients refuse, and shows how much of them is used. Thread-safe. */
public final class InputMetrics {
    private final PrometheusRegistry registry;
    private final Counter refusals;

    /**
     * Registers the metrics.
     *
     * @param registry the registry, not null
     * @return the metrics, never null
     */
    public static InputMetrics registerIn(PrometheusRegistry registry) {
        return new InputMetrics(registry);
    }

    /**
     * Returns metrics that nobody reads.
     *
     * @return new metrics, never null
     */
    static InputMetrics unread() {
        return new InputMetrics(new PrometheusRegistry());
    }

    private InputMetrics(PrometheusRegistry registry) {
        this.registry = registry;
        refusals = Counter.builder()
                .name("nettlering_input_refusals_total")
                .help("Requests refused and connections closed by the limits on clients, by reason.")
                .labelNames("reason")
                .register(registry);
        for (RefusalReason reason : RefusalReason.values()) {
            refusals.initLabelValues(reason.label());
        }
    }

    void count(RefusalReason reason) {
        refusals.labelValues(reason.label()).inc();
    }

    /** Shows how much of the limits is used. */
    void observe(RequestMemory memory, ConnectionGuards connections) {
        GaugeWithCallback.builder()
                .name("nettlering_input_memory_bytes")
                .help("Memory of requests that are received or wait for their response, in bytes.")
                .callback(callback -> callback.call((double) memory.usedBytes()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("nettlering_input_connections")
                .help("Open connections of clients.")
                .callback(callback -> callback.call(connections.count()))
                .register(registry);
    }
}
