package org.nettlering.runtime.trace;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.nettlering.domain.time.ManualTime;
import org.nettlering.runtime.settings.TelemetrySettings;

class TelemetryTest {
    private static final String CALLER = "00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01";

    private final ManualTime time = ManualTime.startingAt(Instant.ofEpochSecond(1));
    private final List<FinishedSpan> spans = new ArrayList<>();
    private final Telemetry telemetry = Telemetry.recordingTo("nettlering-entry", "e1", spans::add, time);

    @Test
    void aSpanContinuesTheTraceOfItsCaller() {
        TraceSpan span = telemetry.start(Hop.CALLER_TO_ENTRY, CALLER);
        time.advance(Duration.ofMillis(5));
        span.attribute("service", "portfolio").end();

        FinishedSpan finished = spans.getFirst();
        assertThat(finished.traceId()).isEqualTo("4bf92f3577b34da6a3ce929d0e0e4736");
        assertThat(finished.parentSpanId()).isEqualTo("00f067aa0ba902b7");
        assertThat(finished.duration()).isEqualTo(Duration.ofMillis(5));
        assertThat(finished.attributes()).containsEntry("service", "portfolio");
        assertThat(span.traceparent()).isEqualTo("00-" + finished.traceId() + "-" + finished.spanId() + "-01");
    }

    @Test
    void theNextHopIsAChild() {
        TraceSpan outer = telemetry.start(Hop.CALLER_TO_ENTRY, "");
        TraceSpan inner = telemetry.start(Hop.ENTRY_TO_CONTROL, outer.traceparent());
        inner.fail("no-leader");
        outer.end();

        assertThat(spans.get(0).parentSpanId()).isEqualTo(spans.get(1).spanId());
        assertThat(spans.get(0).traceId()).isEqualTo(spans.get(1).traceId());
        assertThat(spans.get(0).attributes()).containsEntry("error.type", "no-leader");
    }

    @Test
    void aMalformedTraceContextBeginsANewTrace() {
        telemetry.start(Hop.CALLER_TO_ENTRY, "00-nonsense").end();

        assertThat(spans.getFirst().parentSpanId()).isEqualTo("0000000000000000");
    }

    @Test
    void withoutAnExporterTheTraceContextIsPassedOn() {
        Telemetry disabled = Telemetry.create("nettlering-entry", "e1", TelemetrySettings.NONE, time);

        assertThat(disabled.start(Hop.CALLER_TO_ENTRY, CALLER).traceparent()).isEqualTo(CALLER);
    }
}
