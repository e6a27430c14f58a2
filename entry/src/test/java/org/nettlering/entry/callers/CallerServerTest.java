package org.nettlering.entry.callers;

import static org.assertj.core.api.Assertions.assertThat;
import static org.nettlering.entry.testing.EntryFixture.header;

import java.net.http.HttpResponse;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.nettlering.entry.testing.EntryFixture;
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
