package org.nettlering.runtime.metrics;

import static org.assertj.core.api.Assertions.assertThat;

import io.prometheus.metrics.core.metrics.Counter;
import org.junit.jupiter.api.Test;

class MetricsTest {
    @Test
    void theTextHoldsTheProcessAndWhatWasRegistered() {
        Metrics metrics = Metrics.create();
        Counter counter = Counter.builder()
                .name("nettlering_test_total")
                .help("Counts.")
                .labelNames("kind")
                .register(metrics.registry());
        counter.labelValues("a").inc(3);

        assertThat(metrics.scrape())
                .contains("nettlering_test_total{kind=\"a\"} 3.0")
                .contains("process_cpu_seconds_total")
                .contains("jvm_heap_used_bytes");
    }

    @Test
    void twoProcessesInOneMachineDoNotShareMetrics() {
        Metrics first = Metrics.create();
        Counter.builder().name("nettlering_first_total").help("Counts.").register(first.registry());

        assertThat(Metrics.create().scrape()).doesNotContain("nettlering_first_total");
    }
}
