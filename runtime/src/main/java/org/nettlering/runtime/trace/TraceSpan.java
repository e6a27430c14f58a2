package org.nettlering.runtime.trace;

/**
 * A span that has not ended.
 *
 * <p>Give {@link #traceparent()} to the next hop, and end the span once, whatever happened. Implementations are
 * thread-safe.
 */
public interface TraceSpan {
    /**
     * Returns the trace context for the next hop.
     *
     * @return the value of a {@code traceparent} header, empty if there is no trace, never null
     */
    String traceparent();

    /**
     * Adds what the span tells.
     *
     * @param key the name, not null
     * @param value the value, not null
     * @return this span, never null
     */
    TraceSpan attribute(String key, String value);

    /**
     * Ends the span as failed.
     *
     * @param code the error code, such as {@code no-leader}, not null
     */
    void fail(String code);

    /** Ends the span. */
    void end();
}
