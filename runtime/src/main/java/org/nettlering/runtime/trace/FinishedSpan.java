package org.nettlering.runtime.trace;

import java.time.Duration;
import java.util.Map;

/**
 * A span that has ended.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name, which is that of its {@link Hop}, not null
 * @param process the id of the process that recorded it, not null
 * @param traceId the trace, 32 hexadecimal digits, not null
 * @param spanId the span, 16 hexadecimal digits, not null
 * @param parentSpanId the span that caused it, 16 zeros if there is none, not null
 * @param duration how long it took, not null
 * @param attributes what it tells, not null
 */
public record FinishedSpan(
        String name,
        String process,
        String traceId,
        String spanId,
        String parentSpanId,
        Duration duration,
        Map<String, String> attributes) {
    /** Copies the attributes. */
    public FinishedSpan {
        attributes = Map.copyOf(attributes);
    }
}
