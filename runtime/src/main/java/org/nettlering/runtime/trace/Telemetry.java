package org.nettlering.runtime.trace;

import io.opentelemetry.api.common.AttributeKey;
import io.opentelemetry.api.trace.Span;
import io.opentelemetry.api.trace.SpanKind;
import io.opentelemetry.api.trace.StatusCode;
import io.opentelemetry.api.trace.Tracer;
import io.opentelemetry.api.trace.propagation.W3CTraceContextPropagator;
import io.opentelemetry.context.Context;
import io.opentelemetry.context.propagation.TextMapGetter;
import io.opentelemetry.exporter.otlp.http.trace.OtlpHttpSpanExporter;
import io.opentelemetry.sdk.resources.Resource;
import io.opentelemetry.sdk.trace.SdkTracerProvider;
import io.opentelemetry.sdk.trace.SpanProcessor;
import io.opentelemetry.sdk.trace.export.BatchSpanProcessor;
import io.opentelemetry.sdk.trace.export.SimpleSpanProcessor;
import org.jspecify.annotations.Nullable;
import org.nettlering.domain.time.TimeSource;
import org.nettlering.runtime.log.EventLogger;
import org.nettlering.runtime.log.RuntimeEvent;
import org.nettlering.runtime.settings.TelemetrySettings;

/**
 * Starts the spans of one process.
 *
 * <p>Without an exporter no span is recorded, and the trace context of the caller is passed on unchanged:
 *
 * <pre>{@code
 * TraceSpan span = telemetry.start(Hop.ENTRY_TO_CONTROL, traceparent);
 * Frame request = frame.toBuilder().setTraceparent(span.traceparent()).build();
 * peer.call(request, timeout).whenComplete((response, error) -> span.end());
 * }</pre>
 *
 * <p>Thread-safe.
 */
public final class Telemetry implements AutoCloseable {
    private static final EventLogger LOG = EventLogger.of(Telemetry.class);

    private static final String HEADER = "traceparent";

    private static final AttributeKey<String> PROCESS = AttributeKey.stringKey("service.instance.id");

    private static final AttributeKey<String> PROGRAM = AttributeKey.stringKey("service.name");

    /** Records the spans, or null when there is no exporter. */
    private final @Nullable SdkTracerProvider provider;

    /** Starts the spans, or null when there is no exporter. */
    private final @Nullable Tracer tracer;

    /**
     * Creates the telemetry of a process as its settings say.
     *
     * @param program the name of the program, not null
     * @param processId the id of the process, not null
     * @param settings the section {@code [telemetry]}, not null
     * @param time times the spans, not null
     * @return a new instance, never null
     */
    public static Telemetry create(String program, String processId, TelemetrySettings settings, TimeSource time) {
        return switch (settings.exporter()) {
            case NONE -> disabled();
            case LOG -> recordingTo(program, processId, Telemetry::log, time);
            case OTLP ->
                new Telemetry(
                        program,
                        processId,
                        BatchSpanProcessor.builder(OtlpHttpSpanExporter.builder()
                                        .setEndpoint(settings.endpoint())
                                        .build())
                                .build(),
                        time);
        };
    }

    /**
     * Creates telemetry that hands its spans to a sink.
     *
     * @param program the name of the program, not null
     * @param processId the id of the process, not null
     * @param sink receives each span when it ends, not null
     * @param time times the spans, not null
     * @return a new instance, never null
     */
    public static Telemetry recordingTo(String program, String processId, SpanSink sink, TimeSource time) {
        return new Telemetry(program, processId, SimpleSpanProcessor.create(new SinkExporter(processId, sink)), time);
    }

    /**
     * Creates telemetry that records nothing.
     *
     * @return an instance that passes trace context on, never null
     */
    public static Telemetry disabled() {
        return new Telemetry();
    }

    private Telemetry() {
        provider = null;
        tracer = null;
    }

    private Telemetry(String program, String processId, SpanProcessor processor, TimeSource time) {
        provider = SdkTracerProvider.builder()
                .setResource(Resource.builder()
                        .put(PROGRAM, program)
                        .put(PROCESS, processId)
                        .build())
                .setClock(new SpanClock(time))
                .addSpanProcessor(processor)
                .build();
        tracer = provider.get("org.nettlering");
    }

    /**
     * Starts a span.
     *
     * @param hop what it stands for, not null
     * @param traceparent the trace context of the caller; a new trace begins if it is empty or malformed, not null
     * @return the span, never null
     */
    public TraceSpan start(Hop hop, String traceparent) {
        Tracer current = tracer;
        if (current == null) {
            return new PassedOnSpan(traceparent);
        }
        Context parent = W3CTraceContextPropagator.getInstance()
                .extract(Context.root(), traceparent, TraceparentGetter.INSTANCE);
        Span span = current.spanBuilder(hop.spanName())
                .setParent(parent)
                .setSpanKind(hop.isServer() ? SpanKind.SERVER : SpanKind.CLIENT)
                .startSpan();
        return new RecordedSpan(span);
    }

    /** Exports what is left and stops. */
    @Override
    public void close() {
        if (provider != null) {
            provider.close();
        }
    }

    private static void log(FinishedSpan span) {
        LOG.log(
                RuntimeEvent.SPAN,
                span.name(),
                span.traceId(),
                span.spanId(),
                span.parentSpanId(),
                span.duration().toNanos() / 1000,
                span.attributes());
    }

    /** Reads the one header of the trace context. */
    private enum TraceparentGetter implements TextMapGetter<String> {
        /** The only instance. */
        INSTANCE;

        @Override
        public @Nullable String get(@Nullable String carrier, String key) {
            return HEADER.equals(key) ? carrier : null;
        }
    }

    /** A span that is not recorded. */
    private record PassedOnSpan(String traceparent) implements TraceSpan {
        @Override
        public TraceSpan attribute(String key, String value) {
            return this;
        }

        @Override
        public void fail(String code) {}

        @Override
        public void end() {}
    }

    /** A span that is recorded. */
    private record RecordedSpan(Span span) implements TraceSpan {
        @Override
        public String traceparent() {
            return "00-" + span.getSpanContext().getTraceId() + "-"
                    + span.getSpanContext().getSpanId() + "-"
                    + span.getSpanContext().getTraceFlags().asHex();
        }

        @Override
        public TraceSpan attribute(String key, String value) {
            span.setAttribute(key, value);
            return this;
        }

        @Override
        public void fail(String code) {
            span.setStatus(StatusCode.ERROR, code);
            span.setAttribute("error.type", code);
            span.end();
        }

        @Override
        public void end() {
            span.end();
        }
    }
}
