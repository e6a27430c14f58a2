package org.nettlering.runtime.trace;

import io.opentelemetry.sdk.common.CompletableResultCode;
import io.opentelemetry.sdk.trace.data.SpanData;
import io.opentelemetry.sdk.trace.export.SpanExporter;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

/** Hands the spans of OpenTelemetry to a {@link SpanSink}. Thread-safe. */
final class SinkExporter implements SpanExporter {
    /** The id of the process. */
    private final String processId;

    /** Receives the spans. */
    private final SpanSink sink;

    SinkExporter(String processId, SpanSink sink) {
        this.processId = processId;
        this.sink = sink;
    }

    @Override
    public CompletableResultCode export(Collection<SpanData> spans) {
        spans.forEach(span -> sink.accept(finished(span)));
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode flush() {
        return CompletableResultCode.ofSuccess();
    }

    @Override
    public CompletableResultCode shutdown() {
        return CompletableResultCode.ofSuccess();
    }

    private FinishedSpan finished(SpanData span) {
        Map<String, String> attributes = new LinkedHashMap<>();
        span.getAttributes().forEach((key, value) -> attributes.put(key.getKey(), String.valueOf(value)));
        return new FinishedSpan(
                span.getName(),
                processId,
                span.getTraceId(),
                span.getSpanId(),
                span.getParentSpanId(),
                Duration.ofNanos(span.getEndEpochNanos() - span.getStartEpochNanos()),
                attributes);
    }
}
