package org.nettlering.standins.site;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.nettlering.runtime.program.ExitCode;
import org.nettlering.runtime.trace.FinishedSpan;

class JobTraceTest {
    private static final String TRACE = "4bf92f3577b34da6a3ce929d0e0e4736";

    private static final String SUBMIT = """
            {"operationId": "op-1", "job": {"jobId": "proof-1", "team": "studio", "profile": "batch",
             "workClass": "proof", "declared": {"millicores": "1000", "memoryMebibytes": "64"},
             "powerMilliwatts": "50000", "declaredRunTimeMillis": "1000"}}
            """;

    @TempDir
    private Path folder = Path.of("");

    @Test
    @Timeout(60)
    void theSpansOfOneJobFormOneChainFromTheCallerToTheWorker() {
        try (OneControlSite site = new OneControlSite(folder)) {
            setUp(site);
            site.submit(SUBMIT, "00-" + TRACE + "-00f067aa0ba902b7-01");
            reportUntilStarted(site);

            List<FinishedSpan> spans = site.spans.stream()
                    .filter(span -> span.traceId().equals(TRACE))
                    .toList();
            List<String> chain = chainTo(spans, "control-to-worker");
            assertThat(chain)
                    .containsExactly(
                            "nettlering c1 control-to-worker",
                            "nettlering c1 control-serves",
                            "nettlering e1 entry-to-control",
                            "nettlering e1 caller-to-entry");
        }
    }

    private static void setUp(OneControlSite site) {
        run(site, "profile put batch --urgency 10 --interruption evict --power-share 100");
        run(site, "team put studio --millicores 30000 --memory-mebibytes 10000");
        run(site, "power-cap set 90kW");
    }

    private static void run(OneControlSite site, String line) {
        OneControlSite.Run run = site.operate(line.split(" ", -1));
        assertThat(run.err()).isEmpty();
        assertThat(run.code()).isEqualTo(ExitCode.SUCCESS);
    }

    private static void reportUntilStarted(OneControlSite site) {
        String answer = "";
        for (int sequence = 1; !answer.contains("\"start\""); sequence++) {
            answer = site.report("""
                    {"workerId": "w1", "incarnation": "1", "sequence": "%d", "rack": "r1", "failureDomain": "fd-1",
                     "capacity": {"millicores": "30000", "memoryMebibytes": "125000"}, "idleMilliwatts": "60000"}
                    """.formatted(sequence));
        }
        assertThat(answer).contains(TRACE);
    }

    /** Follows the parents from the first span of a name up to the caller. */
    private static List<String> chainTo(List<FinishedSpan> spans, String name) {
        List<String> chain = new ArrayList<>();
        FinishedSpan span = find(spans, each -> each.name().equals(name));
        while (span != null) {
            chain.add("nettlering " + span.process() + " " + span.name());
            String parent = span.parentSpanId();
            span = find(spans, each -> each.spanId().equals(parent));
        }
        return chain;
    }

    private static @org.jspecify.annotations.Nullable FinishedSpan find(
            List<FinishedSpan> spans, java.util.function.Predicate<FinishedSpan> wanted) {
        return spans.stream().filter(wanted).findFirst().orElse(null);
    }
}
