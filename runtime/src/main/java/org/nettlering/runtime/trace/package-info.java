/**
 * Traces: one span a hop, joined by the W3C trace context.
 *
 * <p>Adapters use {@link org.nettlering.runtime.trace.Telemetry} and {@link org.nettlering.runtime.trace.TraceSpan} alone;
 * OpenTelemetry stays in this package.
 */
@NullMarked
package org.nettlering.runtime.trace;

import org.jspecify.annotations.NullMarked;
