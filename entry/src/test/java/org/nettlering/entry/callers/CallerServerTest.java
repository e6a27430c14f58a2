package org.nettlering.entry.callers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.entry.testing.EntryFixture.header;

import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.entry.testing.EntryFixture;
import org.nettlering.entry.testing.ReceivedRequest;
import org.nettlering.entry.testing.ScriptedUpstream;

class CallerServerTest {
    private final EntryFixture entry = EntryFixture.start();

    @AfterEach
    void stop() {
        entry.close();
    }

    @Test
    void requestReceivesCompleteUpstreamResponse() {
        ScriptedUpstream upstream = ScriptedUpstream.responding("whole");
        entry.announce("previews", "one", upstream, "SERVING");

        HttpResponse<String> response = entry.get("/previews/1");

        assertThat(response.statusCode()).isEqualTo(200);
        assertThat(response.body()).isEqualTo("whole");
        assertThat(upstream.take().headers()).containsEntry("nettlering-attempt", "1");
    }

    @Test
    void requestWhoseDeadlinePassedWhileTheHostWasSuspendedIsNotSent() {
        ScriptedUpstream upstream = ScriptedUpstream.unresponsive();
        entry.announce("{\"service\":\"previews\",\"instance\":\"one\",\"address\":\"" + upstream.address()
                + "\",\"slots\":1,\"connections\":60,\"failureDomain\":\"a\",\"state\":\"SERVING\","
                + "\"incarnation\":1,\"sequence\":1}");
        CompletableFuture<HttpResponse<String>> first = entry.post("/previews/1", "", "");
        ReceivedRequest received = upstream.take();
        CompletableFuture<HttpResponse<String>> second = entry.post("/previews/2", "", "");
        awaitMetric("nettlering_entry_waiting 1.0");

        entry.time().suspend(Duration.ofSeconds(30));
        received.respond(200, "late");

        assertThat(EntryFixture.await(first).statusCode()).isEqualTo(200);
        HttpResponse<String> response = EntryFixture.await(second);
        assertThat(header(response, "Nettlering-Error")).isEqualTo("deadline-exceeded");
        assertThat(header(response, "Nettlering-Outcome")).isEqualTo("not-run");
        assertThat(upstream.requestCount()).isEqualTo(1);
    }

    private void awaitMetric(String line) {
        long deadlineNanos = System.nanoTime() + EntryFixture.AWAIT_TIMEOUT.toNanos();
        while (!entry.metrics().contains(line) && System.nanoTime() - deadlineNanos < 0) {
            Thread.onSpinWait();
        }
        assertThat(entry.metrics()).contains(line);
    }

    @Test
    void requestWithoutRouteIsRejectedAsNotRun() {
        HttpResponse<String> response = entry.get("/nothing");

        assertThat(response.statusCode()).isEqualTo(404);
        assertThat(header(response, "Nettlering-Outcome")).isEqualTo("not-run");
        assertThat(header(response, "Nettlering-Error")).isEqualTo("no-route");
    }

    @Test
    void requestWithoutUpstreamIsRejectedWithRetryAfter() {
        HttpResponse<String> response = entry.get("/previews/1");

        assertThat(response.statusCode()).isEqualTo(503);
        assertThat(header(response, "Nettlering-Outcome")).isEqualTo("not-run");
        assertThat(header(response, "Retry-After")).isEqualTo("1");
    }
}
