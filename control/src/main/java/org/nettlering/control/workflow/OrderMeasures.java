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

/** The orders to hosts that are on their way, how long their answers take, and what came of them. Thread-safe. */
final class OrderMeasures {
    /** The times to an answer, by kind. */
    private final Map<OrderKind, MeasuredTime> answerTimes = new EnumMap<>(OrderKind.class);

    /** The orders on their way, by kind. */
    private final Map<OrderKind, AtomicInteger> inFlight = new EnumMap<>(OrderKind.class);

    /** What came of orders since the start. */
    private final Counter outcomes;

    /** What came of orders since the last summary, by kind and outcome. */
    private final Map<String, LongAdder> recentOutcomes = new ConcurrentHashMap<>();

    static OrderMeasures registerIn(PrometheusRegistry registry) {
        return new OrderMeasures(registry);
    }

    private OrderMeasures(PrometheusRegistry registry) {
        Histogram answers = LoopTimes.histogram(
                        "nettlering_leader_order_seconds", "From sending an order to what came of it.")
                .labelNames("kind")
                .register(registry);
        for (OrderKind kind : OrderKind.values()) {
            answerTimes.put(kind, MeasuredTime.of(answers.labelValues(kind.text())));
            inFlight.put(kind, new AtomicInteger());
        }
        outcomes = Counter.builder()
                .name("nettlering_leader_orders_total")
                .help("Orders to hosts by kind and outcome.")
                .labelNames("kind", "outcome")
                .register(registry);
        GaugeWithCallback.builder()
                .name("nettlering_leader_orders_in_flight")
                .help("Orders to hosts that are on their way.")
                .labelNames("kind")
                .callback(callback -> inFlight.forEach((kind, count) -> callback.call(count.get(), kind.text())))
                .register(registry);
    }

    void sent(HostCommand order) {
        count(order).incrementAndGet();
    }

    void answered(HostCommand order, HostResponse answer, long nanos) {
        OrderKind kind = OrderKind.of(order);
        String outcome = OrderOutcome.of(answer);
        count(order).decrementAndGet();
        time(kind).add(nanos);
        outcomes.labelValues(kind.text(), outcome).inc();
        recentOutcomes
                .computeIfAbsent(kind.text() + "." + outcome, word -> new LongAdder())
                .increment();
    }

    MeasuredTime.Spread takeSpread(OrderKind kind) {
        return time(kind).takeSpread();
    }

    SortedMap<String, Integer> inFlight() {
        SortedMap<String, Integer> counts = new TreeMap<>();
        inFlight.forEach((kind, count) -> counts.put(kind.text(), count.get()));
        return counts;
    }

    /** Returns what came of orders since the last call, without what did not occur. */
    SortedMap<String, Long> takeOutcomes() {
        SortedMap<String, Long> counts = new TreeMap<>();
        recentOutcomes.forEach((word, count) -> counts.put(word, count.sumThenReset()));
        counts.values().removeIf(count -> count == 0);
        return counts;
    }

    private AtomicInteger count(HostCommand order) {
        return Objects.requireNonNull(inFlight.get(OrderKind.of(order)));
    }

    private MeasuredTime time(OrderKind kind) {
        return Objects.requireNonNull(answerTimes.get(kind));
    }
}
