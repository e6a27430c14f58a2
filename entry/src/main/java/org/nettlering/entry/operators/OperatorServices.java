package org.nettlering.entry.operators;

import java.util.function.Supplier;
import org.nettlering.runtime.metrics.Metrics;
import org.nettlering.runtime.trace.Telemetry;
import org.nettlering.wire.transport.ControlGateway;

/**
 * The services of the entry process that the routes for operators use.
 *
 * <p>Immutable and thread-safe.
 *
 * @param entryId the id of the entry, not null
 * @param gateway the connection to the control leader, not null
 * @param telemetry records the spans, not null
 * @param metrics the metrics for {@code /metrics}, not null
 * @param readiness supplies the readiness for {@code /ready}, not null
 */
public record OperatorServices(
        String entryId,
        ControlGateway gateway,
        Telemetry telemetry,
        Metrics metrics,
        Supplier<ReadinessReport> readiness) {}
