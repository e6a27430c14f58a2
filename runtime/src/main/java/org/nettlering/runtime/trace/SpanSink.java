package org.nettlering.runtime.trace;

/** Receives spans as they end. Implementations are thread-safe and do not block. */
@FunctionalInterface
public interface SpanSink {
    /**
     * Receives a span.
     *
     * @param span the span, not null
     */
    void accept(FinishedSpan span);
}
