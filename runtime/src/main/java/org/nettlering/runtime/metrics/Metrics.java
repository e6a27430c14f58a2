package org.nettlering.runtime.metrics;

import com.sun.management.OperatingSystemMXBean;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.nio.charset.StandardCharsets;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.LogOutput;

/**
 * The metrics of one process.
 *
 * <p>Register counters and gauges in {@link #registry()}; serve {@link #scrape()} at {@code /metrics}. Each process has its
 * own instance, so that tests can run several in one virtual machine. Thread-safe.
 */
public final class Metrics {
    /** The content type of {@link #scrape()}. */
    public static final String CONTENT_TYPE = PrometheusTextFormatWriter.CONTENT_TYPE;

    private static final double NANOS_PER_SECOND = 1e9;

    /** Where the metrics are registered. */
    private final PrometheusRegistry registry = new PrometheusRegistry();

    /** Writes the text format. */
    private final PrometheusTextFormatWriter writer =
            PrometheusTextFormatWriter.builder().build();

    /**
     * Creates the metrics of a process: its processor time, heap and threads.
     *
     * @return a new instance, never null
     */
    public static Metrics create() {
        return new Metrics();
    }

    private Metrics() {
        OperatingSystemMXBean system = ManagementFactory.getPlatformMXBean(OperatingSystemMXBean.class);
        CounterWithCallback.builder()
                .name("process_cpu_seconds_total")
                .help("Processor time of the process in seconds.")
                .callback(callback -> callback.call(system.getProcessCpuTime() / NANOS_PER_SECOND))
                .register(registry);
        GaugeWithCallback.builder()
                .name("jvm_heap_used_bytes")
                .help("Heap in use in bytes.")
                .callback(callback -> callback.call((double)
                        ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("jvm_threads")
                .help("Threads of the process.")
                .callback(callback ->
                        callback.call(ManagementFactory.getThreadMXBean().getThreadCount()))
                .register(registry);
        registerLog();
    }

    private void registerLog() {
        CounterWithCallback.builder()
                .name("nettlering_log_dropped_lines_total")
                .help("Lines of the log that were dropped as its output was too slow.")
                .callback(callback -> callback.call((double) LogOutput.droppedLines()))
                .register(registry);
        CounterWithCallback.builder()
                .name("nettlering_log_left_out_lines_total")
                .help("Lines of the log that were left out as their event's budget of a second was used up.")
                .callback(callback -> callback.call((double) EventLogger.leftOutLines()))
                .register(registry);
        GaugeWithCallback.builder()
                .name("nettlering_log_waiting_lines")
                .help("Lines of the log that wait to be written.")
                .callback(callback -> callback.call(LogOutput.waitingLines()))
                .register(registry);
    }

    /**
     * Returns where metrics are registered.
     *
     * @return the registry, never null
     */
    public PrometheusRegistry registry() {
        return registry;
    }

    /**
     * Writes all metrics in the Prometheus text format.
     *
     * @return the text, never null
     */
    public String scrape() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        try {
            writer.write(out, registry.scrape());
        } catch (IOException exception) {
            throw new UncheckedIOException(exception);
        }
        return out.toString(StandardCharsets.UTF_8);
    }
}
