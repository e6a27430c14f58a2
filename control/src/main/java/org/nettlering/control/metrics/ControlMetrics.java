package org.nettlering.control.metrics;

import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.ToLongFunction;
import org.nettlering.consensus.ConsensusNode;
import org.nettlering.consensus.ConsensusStatus;
import org.nettlering.domain.configuration.ConfigurationState;

/** Registers what a control process tells about itself. Stateless and thread-safe. */
public final class ControlMetrics {
    private ControlMetrics() {}

    /**
     * Registers the metrics of the replicated log and of the configuration.
     *
     * @param registry where to register, not null
     * @param node the member, not null
     * @param configuration the replicated configuration, not null
     */
    public static void register(PrometheusRegistry registry, ConsensusNode node, ConfigurationState configuration) {
        gauge(registry, "nettlering_control_term", "The current term.", node::term);
        gauge(
                registry,
                "nettlering_control_leading",
                "1 when this member leads and is ready to decide, else 0.",
                () -> node.isReadyLeader() ? 1 : 0);
        gauge(
                registry,
                "nettlering_control_commit_index",
                "The index of the last committed log entry.",
                () -> read(node, ConsensusStatus::commitIndex));
        gauge(
                registry,
                "nettlering_control_log_memory_bytes",
                "The size of the log entries that this member holds in memory.",
                () -> read(node, ConsensusStatus::logBytes));
        gauge(
                registry,
                "nettlering_control_configuration_revision",
                "The configuration revision that this member has applied.",
                () -> configuration.current().revision());
    }

    private static double read(ConsensusNode node, ToLongFunction<ConsensusStatus> reader) {
        return node.status().map(status -> (double) reader.applyAsLong(status)).orElse(0.0);
    }

    private static void gauge(PrometheusRegistry registry, String name, String help, DoubleSupplier value) {
        GaugeWithCallback.builder()
                .name(name)
                .help(help)
                .callback(callback -> callback.call(value.getAsDouble()))
                .register(registry);
    }
}
