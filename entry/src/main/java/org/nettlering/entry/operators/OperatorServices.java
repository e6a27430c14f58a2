package org.nettlering.entry.operators;

import java.util.function.Supplier;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.ControlGateway;

/**
 * What the operators' port needs from the entry process.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entryId the id of the entry, not null
 * @param gateway reaches the control leader, not null
 * @param telemetry starts the spans, not null
 * @param metrics is served at {@code /metrics}, not null
 * @param readiness is served at {@code /ready}, not null
 */
public record OperatorServices(
        String entryId,
        ControlGateway gateway,
        Telemetry telemetry,
        Metrics metrics,
        Supplier<ReadinessReport> readiness) {}
