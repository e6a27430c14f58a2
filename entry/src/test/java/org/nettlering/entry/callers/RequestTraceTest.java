package org.nettlering.entry.callers;

import static org.assertj.core.api.Assertions.assertThat;

import java.net.http.HttpRequest;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.entry.testing.EntryFixture;
import org.nettlering.entry.testing.ScriptedUpstream;
import org.nettlering.runtime.trace.FinishedSpan;
import org.nettlering.runtime.trace.Hop;

class RequestTraceTest {
    private static final String TRACE_ID = "0af7651916cd43dd8448eb211c80319c";
    private static final String CALLER_SPAN_ID = "b7ad6b7169203331";
    private static final String TRACEPARENT = "00-" + TRACE_ID + "-" + CALLER_SPAN_ID + "-01";

    private final EntryFixture entry = EntryFixture.start();

    @AfterEach
    void stop() {
        entry.close();
    }

    @Test
    void upstreamSpanIsChildOfCallerSpan() {
        ScriptedUpstream upstream = ScriptedUpstream.responding("whole");
        entry.announce("previews", "one", upstream, "SERVING");
        HttpRequest request =
                entry.request("/previews/1").header("traceparent", TRACEPARENT).build();

        EntryFixture.await(entry.send(request));

        FinishedSpan fromCaller = span(Hop.CALLER_TO_ENTRY);
        FinishedSpan toUpstream = span(Hop.ENTRY_TO_UPSTREAM);
        assertThat(fromCaller.traceId()).isEqualTo(TRACE_ID);
        assertThat(fromCaller.parentSpanId()).isEqualTo(CALLER_SPAN_ID);
        assertThat(toUpstream.traceId()).isEqualTo(TRACE_ID);
        assertThat(toUpstream.parentSpanId()).isEqualTo(fromCaller.spanId());
        assertThat(upstream.take().headers().get("traceparent"))
                .isEqualTo("00-" + TRACE_ID + "-" + toUpstream.spanId() + "-01");
    }

    /** Waits until a span has ended, which may happen after the caller has the response. */
    private FinishedSpan span(Hop hop) {
        long deadline = System.nanoTime() + EntryFixture.AWAIT_TIMEOUT.toNanos();
        while (System.nanoTime() - deadline < 0) {
            for (FinishedSpan span : entry.spans()) {
                if (span.name().equals(hop.spanName())) {
                    return span;
                }
            }
            Thread.onSpinWait();
        }
        throw new AssertionError("no span " + hop.spanName() + " among " + entry.spans());
    }
}
