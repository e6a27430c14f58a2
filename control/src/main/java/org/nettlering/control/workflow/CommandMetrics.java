package org.nettlering.control.workflow;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.util.EnumMap;
import java.util.Map;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.nettlering.domain.workflow.host.HostCommand;
import org.nettlering.domain.workflow.host.HostResponse;

/** Metrics of the commands to hosts: commands in flight, response times and outcomes. Thread-safe. */
final class CommandMetrics {
    private final Map<CommandKind, LatencyRecorder> responseTimes = new EnumMap<>(CommandKind.class);

    private final Map<CommandKind, AtomicInteger> inFlight = new EnumMap<>(CommandKind.class);

    /** The outcomes of commands since process start. */
    private final Counter outcomeCounter;

    /** The outcomes of commands since the last call of {@link #drainOutcomes}, by "kind.outcome". */
    private final Map<String, LongAdder> unreportedOutcomes = new ConcurrentHashMap<>();

    static CommandMetrics registerIn(PrometheusRegistry registry) {
        return new CommandMetrics(registry);
    }

    private CommandMetrics(PrometheusRegistry registry) {
        Histogram histogram = LatencyHistograms.histogram(
                        "nettlering_leader_order_seconds", "From sending an order to what came of it.")
                .labelNames("kind")
                .register(registry);
        for (CommandKind kind : CommandKind.values()) {
            responseTimes.put(kind, LatencyRecorder.of(histogram.labelValues(kind.label())));
            inFlight.put(kind, new AtomicInteger());
        }
        outcomeCounter = Counter.builder()
                .name("nettlering_leader_orders_total")
                .help("Orders to hosts by kind and outcome.")
                .labelNames("kind", "outcome")
                .register(registry);
        GaugeWithCallback.builder()
                .name("nettlering_leader_orders_in_flight")
                .help("Orders to hosts that are on their way.")
                .labelNames("kind")
                .callback(gauge -> inFlight.forEach((kind, count) -> gauge.call(count.get(), kind.label())))
                .register(registry);
    }

    void commandSent(HostCommand command) {
        inFlightCount(command).incrementAndGet();
    }

    void commandFinished(HostCommand command, HostResponse response, long nanos) {
        CommandKind kind = CommandKind.of(command);
        String outcome = CommandOutcome.of(response);
        inFlightCount(command).decrementAndGet();
        responseTime(kind).observe(nanos);
        outcomeCounter.labelValues(kind.label(), outcome).inc();
        unreportedOutcomes
                .computeIfAbsent(kind.label() + "." + outcome, key -> new LongAdder())
                .increment();
    }

    LatencyRecorder.Summary summariseAndReset(CommandKind kind) {
        return responseTime(kind).summariseAndReset();
    }

    SortedMap<String, Integer> inFlight() {
        SortedMap<String, Integer> counts = new TreeMap<>();
        inFlight.forEach((kind, count) -> counts.put(kind.label(), count.get()));
        return counts;
    }

    /** Returns the number of commands by "kind.outcome" since the last call, without zero entries. */
    SortedMap<String, Long> drainOutcomes() {
        SortedMap<String, Long> counts = new TreeMap<>();
        unreportedOutcomes.forEach((key, count) -> counts.put(key, count.sumThenReset()));
        counts.values().removeIf(count -> count == 0);
        return counts;
    }

    private AtomicInteger inFlightCount(HostCommand command) {
        return Objects.requireNonNull(inFlight.get(CommandKind.of(command)));
    }

    private LatencyRecorder responseTime(CommandKind kind) {
        return Objects.requireNonNull(responseTimes.get(kind));
    }
}
