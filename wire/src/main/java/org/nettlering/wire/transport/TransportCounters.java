package org.nettlering.wire.transport;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/** Counts what goes wrong on the connections to peers, by the id of the peer. Thread-safe. */
public final class TransportCounters {
    /** Connections that were replaced because they went silent. */
    private final Counter silentConnections;

    /** Attempts to connect that failed. */
    private final Counter failedAttempts;

    /** Messages that were dropped because no connection could take them. */
    private final Counter droppedMessages;

    /** Responses that came after their request had ended. */
    private final Counter lateResponses;

    /**
     * Registers the counters.
     *
     * @param registry where to register them, not null
     * @return the counters, never null
     */
    public static TransportCounters registerIn(PrometheusRegistry registry) {
        return new TransportCounters(registry);
    }

    /**
     * Returns counters that nobody reads.
     *
     * @return new counters, never null
     */
    public static TransportCounters unread() {
        return new TransportCounters(new PrometheusRegistry());
    }

    private TransportCounters(PrometheusRegistry registry) {
        silentConnections = counter(
                registry, "nettlering_peer_silent_connections_total", "Connections replaced because they went silent.");
        failedAttempts = counter(registry, "nettlering_peer_failed_attempts_total", "Attempts to connect that failed.");
        droppedMessages =
                counter(registry, "nettlering_peer_dropped_messages_total", "Messages that no connection could take.");
        lateResponses =
                counter(registry, "nettlering_peer_late_responses_total", "Responses after their request had ended.");
    }

    private static Counter counter(PrometheusRegistry registry, String name, String help) {
        return Counter.builder().name(name).help(help).labelNames("peer").register(registry);
    }

    void silentConnection(String peer) {
        silentConnections.labelValues(peer).inc();
    }

    void failedAttempt(String peer) {
        failedAttempts.labelValues(peer).inc();
    }

    void droppedMessage(String peer) {
        droppedMessages.labelValues(peer).inc();
    }

    void lateResponse(String peer) {
        lateResponses.labelValues(peer).inc();
    }
}
